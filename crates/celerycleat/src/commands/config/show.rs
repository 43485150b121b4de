//! `config show`

use argh::FromArgs;
use serde::Deserialize;
use serde_json::Value;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::pretty;
use crate::{CliError, Report};

/// Print the configuration in force with its version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {}

#[derive(Debug, Deserialize)]
struct Shown {
    version: u64,
    config: Option<Value>,
}

impl Command for Show {
    const NAME: &'static str = "config show";
    const USAGE: &'static str = "config show";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See what is in force",
            words: "config show",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/config", describe).await
    }
}

fn describe(shown: &Shown) -> Box<str> {
    match &shown.config {
        Some(config) => format!("version {}\n{}", shown.version, pretty(config)).into(),
        None => "version 0: no configuration was accepted yet".into(),
    }
}
