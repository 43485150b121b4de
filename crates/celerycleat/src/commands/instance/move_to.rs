//! `instance move`

use argh::FromArgs;
use serde_json::json;

use super::super::command_id::command_id;
use super::super::{Command, Context, Example};
use crate::arguments::text;
use crate::client::send_order;
use crate::error::NoServerNamedSnafu;
use crate::{CliError, Report};

/// Move an instance to another pool. It leaves, drains and joins; 'instance
/// list' shows how far it is.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct Move {
    /// the instance
    #[argh(positional, from_str_fn(text))]
    name: Box<str>,
    /// the pool it is to belong to
    #[argh(positional, from_str_fn(text))]
    pool: Box<str>,
    /// identifies the command when it is sent again (default: a random one)
    #[argh(option, from_str_fn(text), arg_name = "id")]
    command_id: Option<Box<str>>,
}

impl Command for Move {
    const NAME: &'static str = "instance move";
    const USAGE: &'static str = "instance move NAME POOL [--command-id ID]";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "Move the instance r1 to the pool spare",
            words: "instance move r1 spare",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        if cx.servers.is_empty() {
            return NoServerNamedSnafu.fail();
        }
        let (name, pool) = (&self.name, &self.pool);
        let id = command_id(self.command_id.as_deref());
        let path = format!("/instances/{name}/move");
        let body = json!({"pool": pool, "command_id": id});
        let json = send_order(cx, &path, &id, &body).await?;
        let text = match json["state"].as_str() {
            Some("there") => format!("{name} is in {pool} already"),
            _ => format!("{name} is moving to {pool} (command {id})"),
        };
        Ok(Report::new(json, text))
    }
}
