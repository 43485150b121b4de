//! `config …`

mod apply;
mod check;
mod history;
mod show;
mod status;

use argh::FromArgs;

pub(super) use apply::Apply;
pub(super) use check::Check;
pub(super) use history::History;
pub(super) use show::Show;
pub(super) use status::Status;

use super::{Command, Context};
use crate::{CliError, Report};

/// The fleet configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Apply(Apply),
    Check(Check),
    History(History),
    Show(Show),
    Status(Status),
}

impl ConfigGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::Apply(command) => command.run(cx).await,
            Subcommand::Check(command) => command.run(cx).await,
            Subcommand::History(command) => command.run(cx).await,
            Subcommand::Show(command) => command.run(cx).await,
            Subcommand::Status(command) => command.run(cx).await,
        }
    }
}
