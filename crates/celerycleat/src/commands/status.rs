//! `status`

use argh::FromArgs;
use serde::Deserialize;

use super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// Stands for a leader that is not known.
const NONE: &str = "none";

/// Show how the entry instance asked sees itself and its cluster.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

#[derive(Debug, Deserialize)]
struct InstanceStatus {
    name: Box<str>,
    data_centre: Box<str>,
    role: Box<str>,
    term: u64,
    leader: Option<Box<str>>,
    applied: u64,
    version: u64,
    in_service: bool,
    targets: u64,
}

impl Command for Status {
    const NAME: &'static str = "status";
    const USAGE: &'static str = "status";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See whether an instance takes requests, and who leads",
            words: "--server 127.0.0.1:7003 status",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/status", describe).await
    }
}

fn describe(status: &InstanceStatus) -> Box<str> {
    let in_service = if status.in_service { "yes" } else { "no" };
    let leader = status.leader.as_deref().unwrap_or(NONE);
    let mut table = Table::new(["INSTANCE", &status.name]);
    table.row([&"DATA CENTRE", &status.data_centre]);
    table.row([&"IN SERVICE", &in_service]);
    table.row([&"ROLE", &status.role]);
    table.row([&"TERM", &status.term]);
    table.row([&"LEADER", &leader]);
    table.row([&"APPLIED", &status.applied]);
    table.row([&"VERSION", &status.version]);
    table.row([&"TARGETS", &status.targets]);
    table.render()
}
