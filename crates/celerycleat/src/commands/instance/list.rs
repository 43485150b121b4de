//! `instance list`

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// List the instances with their pools and racks.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

#[derive(Debug, Deserialize)]
struct Instances {
    instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
struct Instance {
    name: Box<str>,
    pool: Box<str>,
    data_centre: Box<str>,
    rack: Box<str>,
    targets: u64,
    #[serde(default)]
    phase: Box<str>,
    #[serde(default)]
    moves_to: Option<Box<str>>,
    #[serde(default)]
    maintenance: Option<Box<str>>,
}

impl Command for List {
    const NAME: &'static str = "instance list";
    const USAGE: &'static str = "instance list";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See which instance is in which pool",
            words: "instance list",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/instances", describe).await
    }
}

fn describe(found: &Instances) -> Box<str> {
    let mut table = Table::new([
        "INSTANCE",
        "POOL",
        "DATA CENTRE",
        "RACK",
        "TARGETS",
        "STATE",
    ]);
    for instance in &found.instances {
        table.row([
            &instance.name,
            &instance.pool,
            &instance.data_centre,
            &instance.rack,
            &instance.targets,
            &state(instance),
        ]);
    }
    table.render()
}

/// Where it is in a move, else in a wave.
fn state(instance: &Instance) -> Box<str> {
    match (&instance.moves_to, &instance.maintenance) {
        (Some(to), _) => format!("{} to {to}", instance.phase).into(),
        (None, Some(step)) => format!("{}, {step}", instance.phase).into(),
        (None, None) => instance.phase.clone(),
    }
}
