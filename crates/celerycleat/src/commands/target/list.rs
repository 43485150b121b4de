//! `target list`

use std::net::SocketAddr;

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// List the targets with their services and limits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

#[derive(Debug, Deserialize)]
struct Targets {
    targets: Vec<Target>,
}

#[derive(Debug, Deserialize)]
struct Target {
    name: Box<str>,
    service: Box<str>,
    address: SocketAddr,
    instance: Box<str>,
    data_centre: Box<str>,
    slots: u64,
    connections: u64,
}

impl Command for List {
    const NAME: &'static str = "target list";
    const USAGE: &'static str = "target list";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See which targets serve what",
            words: "target list",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/targets", describe).await
    }
}

fn describe(found: &Targets) -> Box<str> {
    let mut table = Table::new([
        "TARGET",
        "SERVICE",
        "ADDRESS",
        "INSTANCE",
        "DATA CENTRE",
        "SLOTS",
        "CONNECTIONS",
    ]);
    for target in &found.targets {
        table.row([
            &target.name,
            &target.service,
            &target.address,
            &target.instance,
            &target.data_centre,
            &target.slots,
            &target.connections,
        ]);
    }
    table.render()
}
