//! `pool list`

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// List the pools with their availability budgets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

#[derive(Debug, Deserialize)]
struct Pools {
    pools: Vec<Pool>,
}

#[derive(Debug, Deserialize)]
struct Pool {
    name: Box<str>,
    availability_budget: u64,
    instances: u64,
    away: u64,
}

impl Command for List {
    const NAME: &'static str = "pool list";
    const USAGE: &'static str = "pool list";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See how much of each budget is used",
            words: "pool list",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/pools", describe).await
    }
}

fn describe(found: &Pools) -> Box<str> {
    let mut table = Table::new(["POOL", "INSTANCES", "AWAY", "BUDGET"]);
    for pool in &found.pools {
        let budget = &pool.availability_budget;
        table.row([&pool.name, &pool.instances, &pool.away, budget]);
    }
    table.render()
}
