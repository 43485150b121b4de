//! `instance …`

mod list;
mod move_to;

use argh::FromArgs;

pub(super) use list::List;
pub(super) use move_to::Move;

use super::{Command, Context};
use crate::{CliError, Report};

/// Instances of the pools.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct InstanceGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    List(List),
    Move(Move),
}

impl InstanceGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::List(command) => command.run(cx).await,
            Subcommand::Move(command) => command.run(cx).await,
        }
    }
}
