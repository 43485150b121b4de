//! `job status`

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::arguments::text;
use crate::client::query;
use crate::{CliError, Report};

/// Show the state of a job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// the job's name
    #[argh(positional, from_str_fn(text))]
    id: Box<str>,
}

#[derive(Debug, Deserialize)]
struct Job {
    id: Box<str>,
    state: Box<str>,
}

impl Command for Status {
    const NAME: &'static str = "job status";
    const USAGE: &'static str = "job status ID";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See what became of a job",
            words: "job status 5c0e7a21d94b36f8",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        let path = format!("/jobs/{}", self.id);
        let describe = |job: &Job| format!("{}: {}\n", job.id, job.state).into();
        query(cx, &path, describe).await
    }
}
