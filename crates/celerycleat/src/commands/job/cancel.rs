//! `job cancel`

use argh::FromArgs;
use serde_json::json;

use super::super::{Command, Context, Example};
use crate::arguments::text;
use crate::client::send_order;
use crate::error::NoServerNamedSnafu;
use crate::{CliError, Report};

/// Cancel a job. What runs of it is stopped within seconds.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// the job's name
    #[argh(positional, from_str_fn(text))]
    id: Box<str>,
}

impl Command for Cancel {
    const NAME: &'static str = "job cancel";
    const USAGE: &'static str = "job cancel ID";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "Cancel a job that is not needed any more",
            words: "job cancel 5c0e7a21d94b36f8",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        if cx.servers.is_empty() {
            return NoServerNamedSnafu.fail();
        }
        let id = &self.id;
        let path = format!("/jobs/{id}/cancel");
        let json = send_order(cx, &path, id, &json!({})).await?;
        Ok(Report::new(json, format!("{id}: cancelled")))
    }
}
