//! `config status`

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// Stands for what the server does not know.
const UNKNOWN: &str = "?";

/// List the version in force on each entry instance.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

#[derive(Debug, Deserialize)]
struct InForce {
    version: u64,
    instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
struct Instance {
    name: Box<str>,
    data_centre: Option<Box<str>>,
    version: Option<u64>,
    lease: Box<str>,
    votes: bool,
}

impl Command for Status {
    const NAME: &'static str = "config status";
    const USAGE: &'static str = "config status";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See whether a change has reached every instance",
            words: "config status",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/config/status", describe).await
    }
}

fn describe(in_force: &InForce) -> Box<str> {
    let mut table = Table::new(["INSTANCE", "DATA CENTRE", "VERSION", "LEASE", "VOTES"]);
    for instance in &in_force.instances {
        let data_centre = instance.data_centre.as_deref().unwrap_or(UNKNOWN);
        let version = instance.version.map(|version| version.to_string());
        let version = version.as_deref().unwrap_or(UNKNOWN);
        let votes = if instance.votes { "yes" } else { "no" };
        table.row([
            &instance.name,
            &data_centre,
            &version,
            &instance.lease,
            &votes,
        ]);
    }
    format!("version {}\n{}", in_force.version, table.render()).into()
}
