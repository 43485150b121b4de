//! `settings …`

mod default;

use argh::FromArgs;

pub(super) use default::Default;

use super::{Command, Context};
use crate::{CliError, Report};

/// Settings and their defaults.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub(crate) struct SettingsGroup {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Default(Default),
}

impl SettingsGroup {
    pub(super) async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        match &self.command {
            Subcommand::Default(command) => command.run(cx).await,
        }
    }
}
