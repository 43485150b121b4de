//! `job …`

mod cancel;
mod list;
mod status;
mod submit;

use argh::FromArgs;

pub(super) use cancel::Cancel;
pub(super) use list::List;
pub(super) use status::Status;
pub(super) use submit::Submit;

use super::{Command, Context};
use crate::{CliError, Report};

/// Jobs on control instances.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct JobGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Submit(Submit),
    Status(Status),
    List(List),
    Cancel(Cancel),
}

impl JobGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::Submit(command) => command.run(cx).await,
            Subcommand::Status(command) => command.run(cx).await,
            Subcommand::List(command) => command.run(cx).await,
            Subcommand::Cancel(command) => command.run(cx).await,
        }
    }
}
