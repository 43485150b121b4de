//! What a load is made of.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use http::Method;

/// When requests are sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pace {
    /// Each connection sends the next request when it has the last answer.
    Closed,
    /// So many requests a second over all connections, whatever the answers
    /// do. A request that had to wait for its connection counts that wait as
    /// latency.
    Open(f64),
}

/// Options of [`run_load`](crate::run_load).
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Where the requests go.
    pub address: SocketAddr,
    /// The path, such as `/dock/confirm`; the query for the stand-in target
    /// is added.
    pub path: Box<str>,
    /// The method of every request.
    pub method: Method,
    /// The length asked of each answer.
    pub bytes: usize,
    /// How long the target is asked to work.
    pub work: Duration,
    /// How many connections are kept open.
    pub connections: u32,
    /// How many callers take turns.
    pub callers: u32,
    /// `Celerycleat-Deadline-Ms`, if stated.
    pub deadline: Option<Duration>,
    /// Whether each request carries its own `Idempotency-Key`.
    pub keys: bool,
    /// When requests are sent.
    pub pace: Pace,
    /// For how long new requests are sent.
    pub duration: Duration,
    /// When an answer is given up.
    pub timeout: Duration,
    /// Begins each request's id, so that two loads do not share ids.
    pub id_prefix: Box<str>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        LoadOptions {
            address: (Ipv4Addr::LOCALHOST, 80).into(),
            path: "/".into(),
            method: Method::GET,
            bytes: 1_024,
            work: Duration::ZERO,
            connections: 16,
            callers: 4,
            deadline: None,
            keys: false,
            pace: Pace::Closed,
            duration: Duration::from_secs(5),
            timeout: Duration::from_secs(10),
            id_prefix: "load".into(),
        }
    }
}
