//! `job list`

use argh::FromArgs;
use serde::Deserialize;

use super::super::{Command, Context, Example};
use crate::client::query;
use crate::output::Table;
use crate::{CliError, Report};

/// List the jobs that are not over.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

#[derive(Debug, Deserialize)]
struct Jobs {
    jobs: Vec<Job>,
    ended: u64,
}

#[derive(Debug, Deserialize)]
struct Job {
    id: Box<str>,
    queue: Box<str>,
    pool: Box<str>,
    tasks: u64,
    done: u64,
    running: u64,
}

impl Command for List {
    const NAME: &'static str = "job list";
    const USAGE: &'static str = "job list";

    fn examples() -> Vec<Example> {
        vec![Example {
            description: "See what runs and what waits",
            words: "job list",
            result: None,
        }]
    }

    async fn run(&self, cx: &Context<'_>) -> Result<Report, CliError> {
        query(cx, "/jobs", describe).await
    }
}

fn describe(found: &Jobs) -> Box<str> {
    let mut table = Table::new(["JOB", "QUEUE", "POOL", "TASKS", "DONE", "RUNNING"]);
    for job in &found.jobs {
        let Job {
            id,
            queue,
            pool,
            tasks,
            done,
            running,
        } = job;
        table.row([id, queue, pool, tasks, done, running]);
    }
    let rows = table.render();
    format!("{rows}{} more are over and remembered\n", found.ended).into()
}
