//! `maintenance resume`

use argh::FromArgs;

use super::super::command_id::command_id;
use super::super::{Command, Context, Example};
use super::waves::{WaveState, order_each};
use crate::arguments::text;
use crate::error::NoServerNamedSnafu;
use crate::{CliError, Report};

/// Resume a paused maintenance wave. Without a pool, every paused wave.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub(crate) struct Resume {
    /// the pool
    #[argh(positional, from_str_fn(text))]
    pool: Option<Box<str>>,
    /// identifies the command when it is sent again (default: a random one)
    #[argh(option, from_str_fn(text), arg_name = "id")]
    command_id: Option<Box<str>>,
}

impl Command for Resume {
    const NAME: &'static str = "maintenance resume";
    const USAGE: &'static str = "maintenance resume [POOL] [--command-id ID]";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "Go on with the pool runners",
            words: "maintenance resume runners",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        if cx.servers.is_empty() {
            return NoServerNamedSnafu.fail();
        }
        let id = command_id(self.command_id.as_deref());
        order_each(cx, self.pool.as_deref(), "resume", WaveState::Paused, &id).await
    }
}
