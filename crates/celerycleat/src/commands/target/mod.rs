//! `target …`

mod list;

use argh::FromArgs;

pub(super) use list::List;

use super::{Command, Context};
use crate::{CliError, Report};

/// Targets that have announced themselves.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub(crate) struct TargetGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    List(List),
}

impl TargetGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::List(command) => command.run(cx).await,
        }
    }
}
