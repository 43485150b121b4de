//! `load`: a load against any address.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use cleat_fakes::{LoadOptions, Pace, run_load};
use http::Method;

use super::CommandError;
use super::output::print_line;

/// Send requests, check every answer, and print the report as a JSON line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(super) struct LoadCommand {
    /// where the requests go
    #[argh(option)]
    address: SocketAddr,
    /// the path, such as /dock/confirm
    #[argh(option)]
    path: String,
    /// the method (default: GET)
    #[argh(option, default = "Method::GET")]
    method: Method,
    /// the length asked of each answer (default: 1024)
    #[argh(option, default = "1024")]
    bytes: usize,
    /// how long the target is asked to work, in ms (default: 0)
    #[argh(option, default = "0")]
    work_ms: u64,
    /// connections kept open (default: 16)
    #[argh(option, default = "16")]
    connections: u32,
    /// callers that take turns (default: 4)
    #[argh(option, default = "4")]
    callers: u32,
    /// the deadline stated with each request, in ms (default: none)
    #[argh(option)]
    deadline_ms: Option<u64>,
    /// give each request its own Idempotency-Key
    #[argh(switch)]
    keys: bool,
    /// requests a second in an open loop (default: a closed loop)
    #[argh(option)]
    rate: Option<f64>,
    /// how long new requests are sent, in s (default: 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// begins each request's id (default: load)
    #[argh(option, default = "String::from(\"load\")")]
    id_prefix: String,
}

impl LoadCommand {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let report = run_load(LoadOptions {
            address: self.address,
            path: self.path.into(),
            method: self.method,
            bytes: self.bytes,
            work: Duration::from_millis(self.work_ms),
            connections: self.connections,
            callers: self.callers,
            deadline: self.deadline_ms.map(Duration::from_millis),
            keys: self.keys,
            pace: self.rate.map_or(Pace::Closed, Pace::Open),
            duration: Duration::from_secs(self.seconds),
            id_prefix: self.id_prefix.into(),
            ..LoadOptions::default()
        })
        .await;
        print_line(&report)
    }
}
