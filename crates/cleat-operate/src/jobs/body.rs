//! Bodies of the interface.

use cleat_jobs::{JobId, JobSpec};
use cleat_link::{CustomerLine, JobView, Overview, WorkerLine};
use serde::{Deserialize, Serialize};

/// A job to submit.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Submission {
    /// The name of its queue.
    pub(super) queue: Box<str>,
    /// What it asks for.
    pub(super) job: JobSpec,
    /// The command line sends one with each order; a job's own name does the
    /// same here.
    #[serde(default, rename = "command_id")]
    pub(super) _command_id: Option<Box<str>>,
}

#[derive(Debug, Serialize)]
pub(super) struct JobBody {
    id: Box<str>,
    state: &'static str,
}

impl JobBody {
    pub(super) fn from_view(id: JobId, view: JobView) -> JobBody {
        let state = match view {
            JobView::Queued => "queued",
            JobView::Running => "running",
            JobView::Completed => "completed",
            JobView::Failed => "failed",
            JobView::Cancelled => "cancelled",
        };
        JobBody {
            id: id.to_string().into(),
            state,
        }
    }

    pub(super) fn accepted(id: JobId) -> JobBody {
        JobBody {
            id: id.to_string().into(),
            state: "accepted",
        }
    }

    pub(super) fn cancelled(id: JobId) -> JobBody {
        JobBody::from_view(id, JobView::Cancelled)
    }
}

#[derive(Debug, Serialize)]
pub(super) struct JobsBody<'a> {
    jobs: Vec<JobRow<'a>>,
    ended: u64,
}

#[derive(Debug, Serialize)]
struct JobRow<'a> {
    id: Box<str>,
    queue: &'a str,
    pool: &'a str,
    tasks: u64,
    done: u64,
    running: u64,
}

impl JobsBody<'_> {
    pub(super) fn from_overview(overview: &Overview) -> JobsBody<'_> {
        let jobs = overview.jobs.iter().map(|job| JobRow {
            id: job.id.to_string().into(),
            queue: &job.queue,
            pool: &job.pool,
            tasks: job.tasks,
            done: job.done,
            running: job.running,
        });
        JobsBody {
            jobs: jobs.collect(),
            ended: overview.ended,
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct WorkersBody {
    pub(super) workers: Vec<WorkerLine>,
}

#[derive(Debug, Serialize)]
pub(super) struct CustomersBody {
    pub(super) customers: Vec<CustomerLine>,
}
