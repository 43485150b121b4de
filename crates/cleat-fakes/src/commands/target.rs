//! `target`: a stand-in target as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use cleat_fakes::{StandInTarget, TargetOptions};
use serde::Serialize;

use super::CommandError;
use super::output::{print_line, terminated};

/// Serve as a target until SIGTERM, then leave gracefully. Prints its address
/// on start and its counts at the end, one JSON line each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub(super) struct TargetCommand {
    /// the name to announce
    #[argh(option)]
    name: String,
    /// the service it serves
    #[argh(option)]
    service: String,
    /// the instance it runs on
    #[argh(option)]
    instance: String,
    /// the data centre of that instance
    #[argh(option)]
    data_centre: String,
    /// an entry instance to announce itself to; several are tried in turn
    #[argh(option)]
    announce: Vec<SocketAddr>,
    /// requests it takes at once (default: 8)
    #[argh(option, default = "8")]
    slots: u64,
    /// connections it takes at once (default: 64)
    #[argh(option, default = "64")]
    connections: u64,
    /// where to listen (default: 127.0.0.1:0)
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    bind: SocketAddr,
    /// count the runs of each request id, without a bound
    #[argh(switch)]
    record_runs: bool,
}

#[derive(Debug, Serialize)]
struct Ready<'a> {
    ready: bool,
    name: &'a str,
    address: SocketAddr,
}

impl TargetCommand {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let target = StandInTarget::bind(TargetOptions {
            name: self.name.as_str().into(),
            service: self.service.into(),
            instance: self.instance.into(),
            data_centre: self.data_centre.into(),
            bind: self.bind,
            announce: self.announce,
            slots: self.slots,
            connections: self.connections,
            record_runs: self.record_runs,
        })
        .await?;
        print_line(&Ready {
            ready: true,
            name: &self.name,
            address: target.address(),
        })?;
        terminated().await?;
        print_line(&target.stop().await)
    }
}
