//! `worker list`

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// List the workers as their owner sees them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

#[derive(Debug, Deserialize)]
struct Workers {
    workers: Vec<Worker>,
}

#[derive(Debug, Deserialize)]
struct Worker {
    name: Box<str>,
    pool: Box<str>,
    machine: Option<Box<str>>,
    state: Box<str>,
    runs: u64,
    used_cpu_milli: u64,
    cpu_milli: u64,
}

impl Command for List {
    const NAME: &'static str = "worker list";
    const USAGE: &'static str = "worker list";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See which workers answer and how full they are",
            words: "worker list",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/workers", describe).await
    }
}

fn describe(found: &Workers) -> Box<str> {
    let columns = ["WORKER", "POOL", "MACHINE", "STATE", "RUNS", "CORES"];
    let mut table = Table::new(columns);
    for worker in &found.workers {
        let machine = worker.machine.as_deref().unwrap_or("-");
        let cores = format!(
            "{:.1}/{:.1}",
            cores(worker.used_cpu_milli),
            cores(worker.cpu_milli)
        );
        let Worker {
            name,
            pool,
            state,
            runs,
            ..
        } = worker;
        table.row([name, pool, &machine, state, runs, &cores]);
    }
    table.render()
}

/// Thousandths of a core as cores.
#[allow(clippy::cast_precision_loss)]
fn cores(milli: u64) -> f64 {
    milli as f64 / 1_000.0
}
