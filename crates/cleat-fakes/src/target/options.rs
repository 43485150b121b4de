//! What a stand-in target is told on start.

use std::net::{Ipv4Addr, SocketAddr};

/// Options of a [`StandInTarget`](crate::StandInTarget).
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// The name it announces.
    pub name: Box<str>,
    /// The service it serves.
    pub service: Box<str>,
    /// The instance it runs on, one of the service's pool.
    pub instance: Box<str>,
    /// The data centre of that instance.
    pub data_centre: Box<str>,
    /// Where it listens; port 0 takes a free one.
    pub bind: SocketAddr,
    /// The entry instances it may announce itself to. One is used at a time,
    /// the next one when that fails. Empty: it does not announce itself.
    pub announce: Vec<SocketAddr>,
    /// How many requests it takes at once.
    pub slots: u64,
    /// How many connections it takes at once.
    pub connections: u64,
    /// Whether each request id is kept with the number of its runs. Switch it
    /// off for long loads: the list is not bounded.
    pub record_runs: bool,
}

impl Default for TargetOptions {
    fn default() -> Self {
        TargetOptions {
            name: "t1".into(),
            service: "dock".into(),
            instance: "r1".into(),
            data_centre: "dc1".into(),
            bind: (Ipv4Addr::LOCALHOST, 0).into(),
            announce: Vec::new(),
            slots: 8,
            connections: 64,
            record_runs: true,
        }
    }
}
