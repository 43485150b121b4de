//! `worker …`

mod list;

use argh::FromArgs;

pub(super) use list::List;

use super::{Command, Context};
use crate::{CliError, Report};

/// Workers that run the tasks of jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "worker")]
pub(crate) struct WorkerGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    List(List),
}

impl WorkerGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::List(command) => command.run(cx).await,
        }
    }
}
