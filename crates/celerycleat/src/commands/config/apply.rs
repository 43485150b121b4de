//! `config apply`

use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;

use super::super::command_id::command_id;
use super::super::{Command, Context, Example};
use crate::arguments::text;
use crate::client::{Change, send_change};
use crate::documents::Layers;
use crate::error::NoServerNamedSnafu;
use crate::{CliError, Report};

/// Bring a configuration into force everywhere. Repeated with the same command
/// id, it gets the first answer again and changes nothing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the base file, shared by all sites
    #[argh(positional)]
    base: PathBuf,
    /// the overlay of one site, a JSON Merge Patch
    #[argh(positional)]
    overlay: Option<PathBuf>,
    /// the version that it replaces, 0 for the first
    #[argh(option, arg_name = "version")]
    expect: u64,
    /// identifies the change when it is sent again (default: a random one)
    #[argh(option, from_str_fn(text), arg_name = "id")]
    command_id: Option<Box<str>>,
}

impl Command for Apply {
    const NAME: &'static str = "config apply";
    const USAGE: &'static str = "config apply BASE [OVERLAY] --expect VERSION [--command-id ID]";

    fn examples() -> Vec<Example> {
        vec![
            Example {
                description: "Apply the first configuration",
                words: "config apply base.json --expect 0",
                result: None,
            },
            Example {
                description: "Replace version 4, safe to repeat",
                words: "config apply base.json overlay.json --expect 4 --command-id rollout-7",
                result: None,
            },
        ]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        let layers = Layers::open(&self.base, self.overlay.as_deref())?;
        if cx.servers.is_empty() {
            return NoServerNamedSnafu.fail();
        }
        let command_id = command_id(self.command_id.as_deref());
        let change = Change {
            expect: self.expect,
            command_id: &command_id,
            config: layers.merged(),
        };
        let version = send_change(cx, &change, &layers).await?;
        let json = json!({"version": version, "command_id": command_id});
        let text = format!("accepted as version {version} (command {command_id})");
        Ok(Report::new(json, text))
    }
}
