//! `maintenance start`

use argh::FromArgs;

use super::super::command_id::command_id;
use super::super::{Command, Context, Example};
use super::waves::order;
use crate::arguments::text;
use crate::error::NoServerNamedSnafu;
use crate::{CliError, Report};

/// Start a maintenance wave: every instance of the pool is drained, rebooted
/// and put on probation, within the pool's availability budget.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct Start {
    /// the pool
    #[argh(positional, from_str_fn(text))]
    pool: Box<str>,
    /// identifies the command when it is sent again (default: a random one)
    #[argh(option, from_str_fn(text), arg_name = "id")]
    command_id: Option<Box<str>>,
}

impl Command for Start {
    const NAME: &'static str = "maintenance start";
    const USAGE: &'static str = "maintenance start POOL [--command-id ID]";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "Maintain every instance of the pool runners",
            words: "maintenance start runners",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        if cx.servers.is_empty() {
            return NoServerNamedSnafu.fail();
        }
        let id = command_id(self.command_id.as_deref());
        let json = order(cx, &self.pool, "start", &id).await?;
        let text = format!("{}: started (command {id})", self.pool);
        Ok(Report::new(json, text))
    }
}
