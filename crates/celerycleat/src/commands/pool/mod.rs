//! `pool …`

mod list;

use argh::FromArgs;

pub(super) use list::List;

use super::{Command, Context};
use crate::{CliError, Report};

/// Pools of instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct PoolGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    List(List),
}

impl PoolGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::List(command) => command.run(cx).await,
        }
    }
}
