//! `config history`

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// Stands for a change that had no command id.
const NO_ID: &str = "-";

/// List the accepted versions, the newest last.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {}

#[derive(Debug, Deserialize)]
struct Accepted {
    history: Vec<Record>,
}

#[derive(Debug, Deserialize)]
struct Record {
    version: u64,
    command_id: Option<Box<str>>,
    at_ms: u64,
    bytes: u64,
}

impl Command for History {
    const NAME: &'static str = "config history";
    const USAGE: &'static str = "config history";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See which command brought which version",
            words: "config history",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/config/history", describe).await
    }
}

fn describe(accepted: &Accepted) -> Box<str> {
    let mut table = Table::new(["VERSION", "COMMAND ID", "AT (UNIX MS)", "BYTES"]);
    for record in &accepted.history {
        let id = record.command_id.as_deref().unwrap_or(NO_ID);
        table.row([&record.version, &id, &record.at_ms, &record.bytes]);
    }
    table.render()
}
