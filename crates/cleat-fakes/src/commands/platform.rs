//! `platform`: a stand-in platform as a process.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use cleat_fakes::{PlatformOptions, StandInPlatform};
use serde::Serialize;

use super::CommandError;
use super::output::{print_line, terminated};

/// Drain and reboot instances by request until SIGTERM. Prints its address on
/// start and its effects at the end, one JSON line each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(super) struct PlatformCommand {
    /// where to listen (default: 127.0.0.1:0)
    #[argh(option, default = "([127, 0, 0, 1], 0).into()")]
    bind: SocketAddr,
    /// how long a drain takes, in ms (default: 100)
    #[argh(option, default = "100")]
    drain_ms: u64,
    /// how long a reboot takes, in ms (default: 500)
    #[argh(option, default = "500")]
    reboot_ms: u64,
}

#[derive(Debug, Serialize)]
struct Ready {
    ready: bool,
    address: SocketAddr,
}

impl PlatformCommand {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let platform = StandInPlatform::bind(PlatformOptions {
            bind: self.bind,
            drain: Duration::from_millis(self.drain_ms),
            reboot: Duration::from_millis(self.reboot_ms),
        })
        .await?;
        let address = platform.address();
        print_line(&Ready {
            ready: true,
            address,
        })?;
        terminated().await?;
        print_line(&platform.effects())
    }
}
