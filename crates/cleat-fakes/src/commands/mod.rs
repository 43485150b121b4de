//! The subcommands.

mod bench_path;
mod forwarder;
mod load;
mod output;
mod platform;
mod target;

use argh::FromArgs;
use snafu::{ResultExt, Snafu};
use tokio::runtime::Builder;

use cleat_fakes::FakeError;

/// Stand-ins of what celerycleat serves, a load generator and a bench.
#[derive(Debug, FromArgs)]
pub(crate) struct Arguments {
    /// worker threads of this process (default: 2)
    #[argh(option, default = "2")]
    threads: usize,
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Target(target::TargetCommand),
    Platform(platform::PlatformCommand),
    Load(load::LoadCommand),
    Forwarder(forwarder::ForwarderCommand),
    BenchPath(bench_path::BenchPathCommand),
}

/// Why a subcommand ended early.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    /// The system gives no threads or signals. Look at its limits.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// What the system answered.
        source: std::io::Error,
    },
    /// A result could not be written as JSON.
    #[snafu(display("cannot write the result: {source}"))]
    Output {
        /// What serialization reports.
        source: serde_json::Error,
    },
    /// The stand-in or the measurement failed.
    #[snafu(transparent)]
    Fake {
        /// Its own error.
        source: FakeError,
    },
}

pub(crate) fn run(arguments: Arguments) -> Result<(), CommandError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(arguments.threads.max(1))
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(async {
        match arguments.command {
            Subcommand::Target(command) => command.run().await,
            Subcommand::Platform(command) => command.run().await,
            Subcommand::Load(command) => command.run().await,
            Subcommand::Forwarder(command) => command.run().await,
            Subcommand::BenchPath(command) => command.run().await,
        }
    })
}
