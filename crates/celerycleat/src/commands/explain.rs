//! `explain`

use std::io::Read;
use std::path::PathBuf;

use argh::FromArgs;
use snafu::ResultExt;

use super::{Command, Context, Example};
use crate::arguments::text;
use crate::error::{ReadFileSnafu, StartSnafu};
use crate::explain::Story;
use crate::{CliError, Report};

/// Tell the story of one job, task, worker, machine or key from the logs of any
/// number of processes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the name of the job, task, worker or machine, or a key's fingerprint
    #[argh(positional, from_str_fn(text))]
    id: Box<str>,
    /// log files; standard input if there is none
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Command for Explain {
    const NAME: &'static str = "explain";
    const USAGE: &'static str = "explain ID [FILE]…";

    fn examples() -> Vec<Example> {
        let of_job = Example {
            description: "Tell what became of a job by the logs of two instances",
            words: "explain 00000000000000a7 c1.log c2.log",
            result: Some(
                "      0 ms  c1.log  accepted  objective_ms=900 pool=a queue=q\n\
                 \x20    21 ms  c1.log  start  resumes=false run=1 task=.0.0.0 worker=w1\n\
                 \x20   300 ms  c2.log  lost  reason=lapsed run=1 task=.0.0.0 worker=w1\n\
                 \x20  1200 ms  c2.log  job_over  state=Completed\n\
                 decisive: lost at 300 ms: reason=lapsed run=1 task=.0.0.0 worker=w1"
                    .into(),
            ),
        };
        let of_cap = Example {
            description: "Tell why a job waits: its customer has all it may have",
            words: "explain 00000000000000a8 c3.log",
            result: Some(
                "      0 ms  c3.log  accepted  customer=harbour pool=a queue=q\n\
                 \x20    10 ms  c3.log  cap_reached  cap_cpu_milli=8000 customer=harbour \
                 held_cpu_milli=7900 step=00000000000000a9.0.0\n\
                 \x20   900 ms  c3.log  start  run=1 task=.0.0.0 worker=w1\n\
                 \x20  1500 ms  c3.log  job_over  state=Completed\n\
                 decisive: cap_reached at 10 ms: cap_cpu_milli=8000 customer=harbour \
                 held_cpu_milli=7900 step=00000000000000a9.0.0"
                    .into(),
            ),
        };
        let of_key = Example {
            description: "Tell why a key was refused, by its fingerprint",
            words: "explain 9f86d081 c3.log",
            result: Some(
                "      0 ms  c3.log  keys_refused  count=3 path=/q/ reason=unknown\n\
                 decisive: keys_refused at 0 ms: count=3 path=/q/ reason=unknown"
                    .into(),
            ),
        };
        vec![of_job, of_cap, of_key]
    }

    async fn run(&self, _: &Context<'_>) -> Result<Report, CliError> {
        let mut story = Story::of(&self.id);
        if self.files.is_empty() {
            let mut lines = String::new();
            let read = std::io::stdin().read_to_string(&mut lines);
            read.context(StartSnafu)?;
            story.read("-", &lines);
        }
        for file in &self.files {
            let bytes = std::fs::read(file).context(ReadFileSnafu { file })?;
            let name = file.file_name().unwrap_or(file.as_os_str());
            let lines = String::from_utf8_lossy(&bytes);
            story.read(&name.to_string_lossy(), &lines);
        }
        Ok(story.report())
    }
}
