//! Violations of the guarantees that the simulation checks.

use std::fmt;

use cleat_jobs::{JobId, Run, TaskId};

/// A violated guarantee.
#[derive(Clone, Debug)]
pub(crate) enum Violation {
    /// Two runs of a task at the same time.
    RunsTwice { task: TaskId, ms: u128 },
    /// A task that is done was started again.
    StartsDone { task: TaskId, ms: u128 },
    /// A task was started by an owner that had been sent its end `done`.
    StartsListedDone { task: TaskId, ms: u128 },
    /// An end `done` was acknowledged, and is not in the replicated state.
    AcknowledgedUnrecorded { task: TaskId, ms: u128 },
    /// A step was started before a step that it depends on was done.
    OutOfOrder { task: TaskId, ms: u128 },
    /// A run number did not increase.
    RunFalls { task: TaskId, run: Run, after: Run },
    /// A task was started more often after failures than its queue allows.
    OverBudget { task: TaskId },
    /// A cancelled job still runs.
    RunsCancelled { task: TaskId, ms: u128 },
    /// A start exceeded the customer's cap.
    OverCap { task: TaskId, ms: u128 },
    /// A customer's account does not match the sum of its runs.
    Miscounted { customer: Box<str>, ms: u128 },
    /// A start exceeded the worker's capacity.
    OverCapacity { task: TaskId, ms: u128 },
    /// A task that crashes its workers keeps being started.
    CrashesOn { task: TaskId, ms: u128 },
    /// A job failed although its tasks neither failed nor crashed their workers.
    FailedWithoutCause { job: JobId, ms: u128 },
    /// A job that could start had not started.
    NotStarted { job: JobId, ms: u128 },
    /// A job had not ended in time after the last fault.
    NotFinished { job: JobId },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::RunsTwice { task, ms } => write!(f, "{task} runs twice at {ms} ms"),
            Violation::StartsDone { task, ms } => {
                write!(f, "{task} is done but was started at {ms} ms")
            }
            Violation::StartsListedDone { task, ms } => {
                write!(f, "{task} is listed as done but was started at {ms} ms")
            }
            Violation::AcknowledgedUnrecorded { task, ms } => {
                write!(
                    f,
                    "{task} is done, which was acknowledged unrecorded at {ms} ms"
                )
            }
            Violation::OutOfOrder { task, ms } => {
                write!(f, "{task} starts before the steps it depends on at {ms} ms")
            }
            Violation::RunFalls { task, run, after } => {
                write!(f, "{task} has run number {run} after {after}")
            }
            Violation::OverBudget { task } => write!(f, "{task} starts after its last attempt"),
            Violation::RunsCancelled { task, ms } => {
                write!(f, "{task} of a cancelled job runs at {ms} ms")
            }
            Violation::OverCap { task, ms } => {
                write!(f, "{task} exceeds the cap of its customer at {ms} ms")
            }
            Violation::Miscounted { customer, ms } => {
                write!(
                    f,
                    "the account of {customer} does not match its runs at {ms} ms"
                )
            }
            Violation::OverCapacity { task, ms } => {
                write!(f, "{task} exceeds the capacity of its worker at {ms} ms")
            }
            Violation::CrashesOn { task, ms } => {
                write!(
                    f,
                    "{task} is started at {ms} ms after crashing too many workers"
                )
            }
            Violation::FailedWithoutCause { job, ms } => {
                write!(f, "{job} failed without a cause at {ms} ms")
            }
            Violation::NotStarted { job, ms } => {
                write!(f, "{job} could start and has not at {ms} ms")
            }
            Violation::NotFinished { job } => write!(f, "{job} is not finished"),
        }
    }
}
