//! `settings default`

use argh::FromArgs;
use serde_json::Value;

use super::super::{Command, Context, Example};
use crate::{CliError, Report};

/// Print an example of the fleet configuration that states every optional key
/// with its default.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "default")]
pub(crate) struct Default {
    /// print an instance's own settings instead
    #[argh(switch)]
    instance: bool,
}

impl Command for Default {
    const NAME: &'static str = "settings default";
    const USAGE: &'static str = "settings default [--instance]";

    fn examples() -> Vec<Example> {
        vec![
            Example {
                description: "Begin a base file",
                words: "settings default",
                result: Some(cleat_world::default_config_text().into()),
            },
            Example {
                description: "Begin an instance's settings",
                words: "settings default --instance",
                result: Some(cleat_settings::default_text().into()),
            },
        ]
    }

    async fn run(&self, _: &Context<'_>) -> Result<Report, CliError> {
        let text = match self.instance {
            true => cleat_settings::default_text(),
            false => cleat_world::default_config_text(),
        };
        // Embedded, and checked as JSON by the tests of its own crate.
        let json: Value = serde_json::from_str(text).unwrap_or_default();
        Ok(Report::new(json, text))
    }
}
