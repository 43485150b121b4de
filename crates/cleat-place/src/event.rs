//! What a placement is told.

use std::time::Duration;

use crate::keys::{JobId, TaskId, TeamId, WorkerId};
use crate::size::Size;

/// How soon a job has to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// In the fair turn of its team.
    Normal,
    /// Within seconds, if need be in place of normal work.
    Urgent,
}

/// A job as it was submitted.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// Unique among the jobs that are not yet over. A job submitted again under
    /// the name of such a job is ignored.
    pub name: Box<str>,
    /// Whose quota and turn it takes.
    pub team: TeamId,
    /// Which of the team's jobs it resembles in size.
    pub class: Box<str>,
    /// What the team says it needs; often wrong.
    pub declared: Size,
    /// How soon it has to start.
    pub priority: Priority,
    /// Whether it can be checkpointed and go on elsewhere.
    pub checkpointable: bool,
    /// How long the team says it runs; often wrong.
    pub expected_run: Duration,
}

/// A worker as the platform announces it.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    /// Unique among the workers.
    pub name: Box<str>,
    /// The data centre.
    pub data_centre: Box<str>,
    /// The rack within the data centre.
    pub rack: Box<str>,
    /// What it has.
    pub capacity: Size,
    /// Grows with each start of the machine; no task outlives its incarnation.
    pub incarnation: u64,
}

/// What one task used.
#[derive(Debug, Clone, Copy)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// What it used at the time of measuring.
    pub used: Size,
}

/// A worker's report. It renews the worker's lease.
#[derive(Debug, Clone)]
pub struct Report {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's incarnation; a report of an earlier one is ignored.
    pub incarnation: u64,
    /// When the usage was measured; lags behind the time of the report.
    pub measured_at: Duration,
    /// What the worker's tasks used.
    pub usage: Vec<TaskUsage>,
}

/// Something that happened. Keys that are no longer valid are ignored.
#[derive(Debug, Clone)]
pub enum Event {
    /// A team was added, or its quota changed.
    TeamSet {
        /// The team's name.
        name: Box<str>,
        /// The most it may hold at once; `None` is no limit.
        quota: Option<Size>,
    },
    /// A worker came up, or came back.
    WorkerUp(WorkerSpec),
    /// A worker is believed down. Its tasks count as running until its lease
    /// has passed.
    WorkerDown(WorkerId),
    /// A worker takes no new work. What can't end by `empty_by` is moved;
    /// without it, everything runs to its end.
    WorkerCordoned {
        /// The worker.
        worker: WorkerId,
        /// When it has to be empty.
        empty_by: Option<Duration>,
    },
    /// A cordoned worker takes work again.
    WorkerUncordoned(WorkerId),
    /// A worker leaves for good by `empty_by`.
    WorkerWithdrawn {
        /// The worker.
        worker: WorkerId,
        /// When it has to be empty.
        empty_by: Duration,
    },
    /// A job was submitted.
    JobSubmitted(JobSpec),
    /// A job is no longer wanted.
    JobCancelled(JobId),
    /// A task runs.
    TaskStarted(TaskId),
    /// A task has done its job.
    TaskFinished(TaskId),
    /// A task ended without doing its job.
    TaskFailed(TaskId),
    /// A task saved its progress and ended.
    TaskCheckpointed(TaskId),
    /// A task was stopped at our request, or never ran and never will.
    TaskStopped(TaskId),
    /// A worker reports.
    Reported(Report),
    /// Time has passed. Expected about twice a second.
    Tick,
}
