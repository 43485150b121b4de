//! `customer …`

mod list;
mod status;

use argh::FromArgs;
use serde::Deserialize;

pub(super) use list::List;
pub(super) use status::Status;

use super::{Command, Context};
use crate::{CliError, Report};

/// Customers, their keys by fingerprint, and what they may have running.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "customer")]
pub(crate) struct CustomerGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    List(List),
    Status(Status),
}

impl CustomerGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::List(command) => command.run(cx).await,
            Subcommand::Status(command) => command.run(cx).await,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Customers {
    customers: Vec<Customer>,
}

#[derive(Debug, Deserialize)]
struct Customer {
    name: Box<str>,
    keys: Vec<Box<str>>,
    weight: f64,
    jobs: u64,
    waiting: u64,
    used: Amount,
    in_doubt: Amount,
    cap: Amount,
}

/// An amount of each resource.
#[derive(Debug, Deserialize)]
struct Amount {
    cpu_milli: u64,
    memory_mb: u64,
    gpu: u64,
}

/// Thousandths of a core as cores.
#[allow(clippy::cast_precision_loss)]
fn cores(milli: u64) -> Box<str> {
    format!("{:.1}", milli as f64 / 1_000.0).into()
}

/// The most of a resource; 0 is no limit.
fn limit(most: u64, text: impl Fn(u64) -> Box<str>) -> Box<str> {
    if most == 0 { "-".into() } else { text(most) }
}
