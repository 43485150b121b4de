//! The promises.

use std::fmt;

use cleat_jobs::{JobId, Run, TaskId};

/// A broken promise.
#[derive(Clone, Debug)]
pub(crate) enum Violation {
    /// Two runs of a task at the same time.
    RunsTwice { task: TaskId, ms: u128 },
    /// A task that is done was started again.
    StartsDone { task: TaskId, ms: u128 },
    /// A step was started before one that it waits for was done.
    OutOfOrder { task: TaskId, ms: u128 },
    /// A run number did not rise.
    RunFalls { task: TaskId, run: Run, after: Run },
    /// A task was started more often after failures than its queue allows.
    OverBudget { task: TaskId },
    /// A cancelled job still runs.
    RunsCancelled { task: TaskId, ms: u128 },
    /// A start brought a customer over its cap.
    OverCap { task: TaskId, ms: u128 },
    /// A customer's account is not the sum of its runs.
    Miscounted { customer: Box<str>, ms: u128 },
    /// A start brought a worker over what it offers.
    OverCapacity { task: TaskId, ms: u128 },
    /// A task that crashes its workers is started on and on.
    CrashesOn { task: TaskId, ms: u128 },
    /// A job failed whose tasks had neither failed nor crashed their workers.
    FailedWithoutCause { job: JobId, ms: u128 },
    /// A job was neither done nor failed in time after the last fault.
    NotFinished { job: JobId },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::RunsTwice { task, ms } => write!(f, "{task} runs twice at {ms} ms"),
            Violation::StartsDone { task, ms } => write!(f, "{task} is done, started at {ms} ms"),
            Violation::OutOfOrder { task, ms } => write!(f, "{task} starts too soon at {ms} ms"),
            Violation::RunFalls { task, run, after } => {
                write!(f, "{task} has run {run} after {after}")
            }
            Violation::OverBudget { task } => write!(f, "{task} starts after its last attempt"),
            Violation::RunsCancelled { task, ms } => {
                write!(f, "{task} of a cancelled job runs at {ms} ms")
            }
            Violation::OverCap { task, ms } => {
                write!(f, "{task} takes its customer over its cap at {ms} ms")
            }
            Violation::Miscounted { customer, ms } => {
                write!(f, "the account of {customer} is not what runs at {ms} ms")
            }
            Violation::OverCapacity { task, ms } => {
                write!(f, "{task} takes its worker over its capacity at {ms} ms")
            }
            Violation::CrashesOn { task, ms } => {
                write!(f, "{task} crashed too many workers and starts at {ms} ms")
            }
            Violation::FailedWithoutCause { job, ms } => {
                write!(f, "{job} failed without a cause at {ms} ms")
            }
            Violation::NotFinished { job } => write!(f, "{job} is not finished"),
        }
    }
}
