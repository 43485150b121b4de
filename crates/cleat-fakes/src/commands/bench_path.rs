//! `bench-path`: what an instance costs on the request path.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use cleat_fakes::{BenchOptions, bench_path, format_table};

use super::CommandError;
use super::output::print_line;

const SIZES: [usize; 2] = [1_024, 65_536];

/// Measure direct, forwarder and instance side by side. Prints each
/// measurement as a JSON line, then the medians as a table.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench-path")]
pub(super) struct BenchPathCommand {
    /// the target's address
    #[argh(option)]
    target: SocketAddr,
    /// the forwarder's address
    #[argh(option)]
    forwarder: SocketAddr,
    /// the forwarder's process id
    #[argh(option)]
    forwarder_pid: u32,
    /// the instance's address for callers
    #[argh(option)]
    instance: SocketAddr,
    /// the instance's process id
    #[argh(option)]
    instance_pid: u32,
    /// the target's service (default: dock)
    #[argh(option, default = "String::from(\"dock\")")]
    service: String,
    /// rounds (default: 5)
    #[argh(option, default = "5")]
    rounds: u32,
    /// how long each measurement takes, in s (default: 3)
    #[argh(option, default = "3")]
    seconds: u64,
    /// connections of the client (default: 8)
    #[argh(option, default = "8")]
    connections: u32,
    /// requests a second of the open loop (default: half of what the slowest
    /// side reaches in the first closed loop)
    #[argh(option)]
    rate: Option<f64>,
}

impl BenchPathCommand {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let options = BenchOptions {
            target: self.target,
            forwarder: self.forwarder,
            forwarder_pid: self.forwarder_pid,
            instance: self.instance,
            instance_pid: self.instance_pid,
            service: self.service.into(),
            sizes: SIZES.to_vec(),
            rounds: self.rounds,
            duration: Duration::from_secs(self.seconds),
            connections: self.connections,
            rate: self.rate,
        };
        let mut failed = None;
        let summaries = bench_path(&options, |row| {
            failed = print_line(row).err().or(failed.take());
        })
        .await?;
        for summary in &summaries {
            print_line(summary)?;
        }
        print!("{}", format_table(&summaries));
        failed.map_or(Ok(()), Err)
    }
}
