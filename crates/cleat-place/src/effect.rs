//! What a placement wants done.

use std::time::Duration;

use crate::keys::{JobId, TaskId, WorkerId};
use crate::size::{Resource, Size};

/// Why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// No worker has enough of a resource.
    Worker {
        /// The resource.
        resource: Resource,
        /// How much of it the job needs.
        needed: u32,
        /// The most that any worker has.
        largest: u32,
    },
    /// Each resource is to be had, but no single worker has all of them.
    Combination {
        /// The resource that the closest worker lacks.
        resource: Resource,
        /// How much of it the job needs.
        needed: u32,
        /// How much the closest worker has.
        closest: u32,
    },
    /// The job alone is larger than its team's quota.
    TeamQuota {
        /// The resource.
        resource: Resource,
        /// How much of it the job needs.
        needed: u32,
        /// The team's quota.
        quota: u32,
    },
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It did its work.
    Finished,
    /// It was cancelled, and no task of it runs any longer.
    Cancelled,
}

/// Why a task is taken off its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its place is needed by an urgent job.
    Urgent,
    /// Its worker holds more than its memory.
    Relief,
    /// Its worker has to be empty by a stated time.
    Drain,
    /// A waiting job fits once it runs elsewhere. Both sides are in the whole
    /// fleet's seconds times millionths; `gain` is always more than `cost`.
    Compaction {
        /// What the waiting job gains by not waiting.
        gain: u64,
        /// What the move loses.
        cost: u64,
    },
    /// Its job was cancelled.
    Cancelled,
    /// The worker runs an attempt that has been given up.
    Obsolete,
}

/// Something to be done by the shell, in the order given: those for urgent
/// jobs come first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start a task. Sent again until answered; the platform knows the task
    /// and starts it once at most. A worker takes it only in the incarnation
    /// named and while it holds its lease.
    Start {
        /// The task.
        task: TaskId,
        /// Where.
        worker: WorkerId,
        /// The incarnation of the worker that may start it.
        incarnation: u64,
        /// What the worker sets aside.
        size: Size,
        /// How long the worker may run it after sending its last answered
        /// report.
        lease: Duration,
    },
    /// Answer a worker's report: its lease runs from the time it sent it.
    Renew {
        /// The worker.
        worker: WorkerId,
        /// How long.
        lease: Duration,
    },
    /// Save a task's progress and end it.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// Why.
        cause: Cause,
    },
    /// End a task, losing its unsaved progress.
    Stop {
        /// The task.
        task: TaskId,
        /// Why.
        cause: Cause,
    },
    /// Hold a task to an amount of processors.
    Throttle {
        /// The task.
        task: TaskId,
        /// In thousandths of a processor.
        processors: u32,
    },
    /// The job can never run; its key is no longer valid.
    Refuse {
        /// The job.
        job: JobId,
        /// Its name.
        name: Box<str>,
        /// What it exceeds.
        limit: Limit,
    },
    /// The job is over; its key is no longer valid.
    Closed {
        /// The job.
        job: JobId,
        /// Its name.
        name: Box<str>,
        /// How it ended.
        end: End,
    },
}
