//! `maintenance …`

mod pause;
mod resume;
mod start;
mod status;
mod waves;

use argh::FromArgs;

pub(super) use pause::Pause;
pub(super) use resume::Resume;
pub(super) use start::Start;
pub(super) use status::Status;

use super::{Command, Context};
use crate::{CliError, Report};

/// Maintenance waves over pools.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "maintenance")]
pub(crate) struct MaintenanceGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Start(Start),
    Status(Status),
    Pause(Pause),
    Resume(Resume),
}

impl MaintenanceGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::Start(command) => command.run(cx).await,
            Subcommand::Status(command) => command.run(cx).await,
            Subcommand::Pause(command) => command.run(cx).await,
            Subcommand::Resume(command) => command.run(cx).await,
        }
    }
}
