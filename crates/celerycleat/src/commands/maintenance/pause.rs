//! `maintenance pause`

use argh::FromArgs;

use super::super::command_id::command_id;
use super::super::{Command, Context, Example};
use super::waves::{WaveState, order_each};
use crate::arguments::text;
use crate::error::NoServerNamedSnafu;
use crate::{CliError, Report};

/// Pause a maintenance wave: no further instance is taken, those under way
/// finish. Without a pool, every wave under way.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
pub(crate) struct Pause {
    /// the pool
    #[argh(positional, from_str_fn(text))]
    pool: Option<Box<str>>,
    /// identifies the command when it is sent again (default: a random one)
    #[argh(option, from_str_fn(text), arg_name = "id")]
    command_id: Option<Box<str>>,
}

impl Command for Pause {
    const NAME: &'static str = "maintenance pause";
    const USAGE: &'static str = "maintenance pause [POOL] [--command-id ID]";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "Take no further instance of the pool runners",
            words: "maintenance pause runners",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        if cx.servers.is_empty() {
            return NoServerNamedSnafu.fail();
        }
        let id = command_id(self.command_id.as_deref());
        order_each(cx, self.pool.as_deref(), "pause", WaveState::Running, &id).await
    }
}
