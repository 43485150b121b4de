//! `forwarder`: the baseline as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use cleat_fakes::Forwarder;
use serde::Serialize;

use super::CommandError;
use super::output::{print_line, terminated};

/// Forward everything to one upstream until SIGTERM. Prints its address on
/// start as a JSON line.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "forwarder")]
pub(super) struct ForwarderCommand {
    /// where the requests go
    #[argh(option)]
    upstream: SocketAddr,
    /// where to listen (default: 127.0.0.1:0)
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    bind: SocketAddr,
}

#[derive(Debug, Serialize)]
struct Ready {
    ready: bool,
    address: SocketAddr,
}

impl ForwarderCommand {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let forwarder = Forwarder::bind(self.bind, self.upstream).await?;
        let address = forwarder.address();
        print_line(&Ready {
            ready: true,
            address,
        })?;
        terminated().await
    }
}
