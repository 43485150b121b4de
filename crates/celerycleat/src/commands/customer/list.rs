//! `customer list`

use argh::FromArgs;

use super::super::{Command, Context, Example};
use super::{Customer, Customers, cores, limit};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// List the customers and what each has running.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

impl Command for List {
    const NAME: &'static str = "customer list";
    const USAGE: &'static str = "customer list";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See who uses the room, and who is at its cap",
            words: "customer list",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/customers", describe).await
    }
}

fn describe(found: &Customers) -> Box<str> {
    let columns = ["CUSTOMER", "KEYS", "JOBS", "WAITING", "CORES", "OF"];
    let mut table = Table::new(columns);
    for customer in &found.customers {
        let Customer {
            name,
            jobs,
            waiting,
            ..
        } = customer;
        let (keys, used) = (customer.keys.len(), cores(customer.used.cpu_milli));
        let cap = limit(customer.cap.cpu_milli, cores);
        table.row([name, &keys, jobs, waiting, &used, &cap]);
    }
    table.render()
}
