//! `job submit`

use std::path::PathBuf;

use argh::FromArgs;
use serde_json::{Map, Value};
use snafu::ResultExt;

use super::super::{Command, Context, Example};
use crate::arguments::text;
use crate::client::send_order;
use crate::error::{NoServerNamedSnafu, ParseFileSnafu, ReadFileSnafu};
use crate::{CliError, Report};

/// Submit a job: a JSON file with its queue and what it asks for. Submitted
/// twice under one id it stays one job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// the file: {{"queue": NAME, "job": {{"steps": […]}}}}
    #[argh(positional)]
    file: PathBuf,
    /// the job's name, 16 hexadecimal digits (default: a random one)
    #[argh(option, from_str_fn(text))]
    id: Option<Box<str>>,
}

impl Command for Submit {
    const NAME: &'static str = "job submit";
    const USAGE: &'static str = "job submit FILE [--id ID]";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "Submit the job in job.json",
            words: "job submit job.json",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        let file = &self.file;
        let content = std::fs::read(file).context(ReadFileSnafu { file })?;
        let body: Map<String, Value> =
            serde_json::from_slice(&content).context(ParseFileSnafu { file })?;
        if cx.servers.is_empty() {
            return NoServerNamedSnafu.fail();
        }
        let id = self.id.clone().unwrap_or_else(random_id);
        let path = format!("/jobs/{id}");
        let json = send_order(cx, &path, &id, &Value::Object(body)).await?;
        Ok(Report::new(json, format!("{id}: accepted")))
    }
}

/// Printed before anything is sent, so that the job can be submitted again
/// safely whatever happens to this process.
fn random_id() -> Box<str> {
    let id = format!("{:016x}", rand::random::<u64>());
    eprintln!("job: {id}");
    id.into()
}
