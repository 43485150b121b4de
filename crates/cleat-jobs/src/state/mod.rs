//! The replicated state and the commands that change it.

mod apply;
mod command;
mod crash;
mod job;
mod wave;
mod worker;

pub use apply::CommandOutcome;
pub use command::{Command, DecodeError, End, EndKind, TaskEnd};
pub(crate) use crash::Suspicion;
pub use crash::{CrashEvidence, CrashedRun, TaskCrashes};
pub use job::{EndedJob, Job, JobState, Occurrence, StepProgress, StoppingJob};
pub use wave::Wave;
pub use worker::{WorkerHistory, WorkerRecord};

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::state::command::DecodeSnafu;
use crate::{Catalogue, JobId};

/// Who gives orders to the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The member of the group.
    pub member: u32,
    /// The fencing token: the position in the log at which it took over.
    ///
    /// Invariant: unique, and higher than that of every owner before.
    pub token: u64,
    /// Which owner it is, counted from 0. A task's run numbers begin anew,
    /// above all earlier ones, with each owner.
    pub ordinal: u32,
}

/// Everything that a majority of the disks holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// Whether the group once had all the voters it needs; before, nothing is
    /// acknowledged.
    pub bootstrapped: bool,
    /// The current owner.
    pub owner: Option<Owner>,
    /// The configuration in force; none before the first.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The workers on which tasks may have been started, by name.
    pub workers: IndexMap<Box<str>, WorkerRecord>,
    /// The jobs that are not over, in the order in which they were accepted.
    pub jobs: IndexMap<JobId, Job>,
    /// The jobs that are over, until they are forgotten.
    pub ended: IndexMap<JobId, EndedJob>,
    /// Customers' jobs that were cancelled or failed, until nothing of them runs.
    pub stopping: IndexMap<JobId, StoppingJob>,
    /// The maintenance waves, by number.
    pub waves: IndexMap<u64, Wave>,
    /// The workers that said lately that they are about to end, those first that
    /// said so first.
    ///
    /// Invariant: a worker is here before it hears that its word was taken, so
    /// that no later owner gives it work.
    pub draining: IndexSet<Box<str>>,
}

impl ControlState {
    /// The state of a job, over or not.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let active = self.jobs.get(&id).map(|_| JobState::Active);
        active.or_else(|| self.ended.get(&id).map(|job| job.state))
    }

    /// Whose a job is, over or not: none if it is not known, and no name if it
    /// is nobody's.
    pub fn customer_of(&self, id: JobId) -> Option<Option<&str>> {
        let active = self.jobs.get(&id).map(|job| job.customer.as_deref());
        let ended = || self.ended.get(&id).map(|job| job.customer.as_deref());
        active.or_else(ended)
    }

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Box<[u8]> {
        // Plain data of our own: writing it into a growing vector can't fail.
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Reads [`snapshot`](Self::snapshot) back.
    ///
    /// # Errors
    /// [`DecodeError`] if the bytes are of another version.
    pub fn restore(data: &[u8]) -> Result<ControlState, DecodeError> {
        postcard::from_bytes(data).context(DecodeSnafu { what: "snapshot" })
    }
}
