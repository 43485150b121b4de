//! `customer status`

use std::fmt::Write;

use argh::FromArgs;

use super::super::{Command, Context, Example};
use super::{Customer, Customers, cores, limit};
use crate::arguments::text;
use crate::client::query;
use crate::{CliError, Report};

/// Show a customer's keys, cap, and what it has and wants.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// the customer's name
    #[argh(positional, from_str_fn(text))]
    name: Box<str>,
}

impl Command for Status {
    const NAME: &'static str = "customer status";
    const USAGE: &'static str = "customer status NAME";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See why a customer's jobs wait: its cap, or no room",
            words: "customer status harbour-school",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/customers", |found| self.describe(found)).await
    }
}

impl Status {
    fn describe(&self, found: &Customers) -> Box<str> {
        let mut customers = found.customers.iter();
        match customers.find(|customer| customer.name == self.name) {
            Some(customer) => describe(customer),
            None => format!("there is no customer {}\n", self.name).into(),
        }
    }
}

fn describe(customer: &Customer) -> Box<str> {
    let Customer {
        name, used, cap, ..
    } = customer;
    let keys = customer.keys.join(" ");
    let plain = |most: u64| most.to_string().into();
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(text, "customer  {name}");
    let _ = writeln!(text, "keys      {keys}");
    let _ = writeln!(text, "share     {} jobs a second", customer.weight);
    let _ = writeln!(text, "jobs      {}", customer.jobs);
    let _ = writeln!(text, "waiting   {} tasks", customer.waiting);
    let of = limit(cap.cpu_milli, cores);
    let _ = writeln!(text, "cores     {} of {of}", cores(used.cpu_milli));
    let of = limit(cap.memory_mb, plain);
    let _ = writeln!(text, "memory    {} of {of} MB", used.memory_mb);
    let of = limit(cap.gpu, plain);
    let _ = writeln!(text, "gpus      {} of {of}", used.gpu);
    let doubt = cores(customer.in_doubt.cpu_milli);
    let _ = writeln!(text, "in doubt  {doubt} cores");
    text.into()
}
