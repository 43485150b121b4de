//! `instance …`

mod list;

use argh::FromArgs;

pub(super) use list::List;

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
}

impl InstanceGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::List(command) => command.run(cx).await,
        }
    }
}
