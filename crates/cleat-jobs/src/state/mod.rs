//! The replicated state and the commands that change it.

mod apply;
mod command;
mod crash;
mod job;
mod learned;
mod life;
mod wave;
mod worker;

pub use apply::CommandOutcome;
pub use command::{Command, DecodeError, End, EndKind, TaskEnd};
pub use crash::{CrashEvidence, CrashedRun, TaskCrashes};
pub(crate) use crash::{Isolation, Suspicion};
pub use job::{EndedJob, Job, JobState, Occurrence, StepProgress, StoppingJob};
pub use learned::{LearnedDurations, LearnedQueue, LearnedStats};
pub(crate) use life::is_life_of;
pub use life::{life_name, started_ms, worker_id};
pub use wave::Wave;
pub use worker::{WorkerHistory, WorkerRecord};

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::state::command::DecodeSnafu;
use crate::{Catalogue, JobId};

/// The leader that gives orders to the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its member id in the group.
    pub member: u32,
    /// The fencing token: the log position at which it took over.
    ///
    /// Invariant: unique, and higher than that of every earlier owner.
    pub token: u64,
    /// The number of earlier owners, 0 for the first. With each new owner the run numbers
    /// of a task start in a new range, above all earlier ones.
    pub ordinal: u32,
}

/// The replicated state, which a majority of the members has on disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// Whether the group has ever had the required number of voters. Until then no
    /// submission is acknowledged.
    pub bootstrapped: bool,
    /// The current owner.
    pub owner: Option<Owner>,
    /// The configuration in force, if there has been one.
    pub catalogue: Option<Arc<Catalogue>>,
    /// The workers on which tasks may have been started, by worker name.
    pub workers: IndexMap<Box<str>, WorkerRecord>,
    /// The active jobs. They are not in the order of acceptance, since the last job takes
    /// the place of one that is removed.
    pub jobs: IndexMap<JobId, Job>,
    /// The ended jobs, for as long as they are retained.
    pub ended: IndexMap<JobId, EndedJob>,
    /// Jobs of customers of which runs may be left that are to be stopped, until none can be
    /// running.
    pub stopping: IndexMap<JobId, StoppingJob>,
    /// The maintenance waves, by number.
    pub waves: IndexMap<u64, Wave>,
    /// The workers that announced their end recently, in the order in which they did.
    ///
    /// Invariant: a worker is recorded here before its announcement is acknowledged, so
    /// that no later owner starts tasks there.
    pub draining: IndexSet<Box<str>>,
    /// The statistics that the last owner committed, if any. In a snapshot they follow
    /// the other fields, and are absent while there are none.
    #[serde(skip)]
    pub learned: Option<Box<LearnedStats>>,
    /// Invariant: the sum of [`JobSpec::memory_bytes`](crate::JobSpec::memory_bytes) of `jobs`.
    #[serde(skip)]
    jobs_bytes: Derived,
}

/// A sum that follows from other fields, so states that differ only in it are equal: it is absent
/// in one that was decoded without [`ControlState::restore`].
#[derive(Clone, Copy, Debug, Default)]
struct Derived(u64);

impl PartialEq for Derived {
    fn eq(&self, _: &Derived) -> bool {
        true
    }
}

impl ControlState {
    /// The state of an active or ended job.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let active = self.jobs.get(&id).map(|_| JobState::Active);
        active.or_else(|| self.ended.get(&id).map(|job| job.state))
    }

    /// The customer of an active or ended job: `None` if the job is unknown, and
    /// `Some(None)` if it belongs to no customer.
    pub fn customer_of(&self, id: JobId) -> Option<Option<&str>> {
        let active = self.jobs.get(&id).map(|job| job.customer.as_deref());
        let ended = || self.ended.get(&id).map(|job| job.customer.as_deref());
        active.or_else(ended)
    }

    /// About how much memory the active jobs take up, in bytes.
    pub fn jobs_bytes(&self) -> u64 {
        self.jobs_bytes.0
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Box<[u8]> {
        // Can't fail: the values are plain data, and the vector grows as needed.
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        if let Some(learned) = &self.learned {
            bytes.extend(postcard::to_stdvec(learned).unwrap_or_default());
        }
        bytes.into()
    }

    /// Decodes the result of [`snapshot`](Self::snapshot).
    ///
    /// # Errors
    /// [`DecodeError`] if another version wrote the bytes.
    pub fn restore(data: &[u8]) -> Result<ControlState, DecodeError> {
        let (mut state, rest): (ControlState, _) =
            postcard::take_from_bytes(data).context(DecodeSnafu { what: "snapshot" })?;
        if !rest.is_empty() {
            // Statistics that can't be decoded must not prevent a start. The default
            // marks them, and a new owner logs that it rejects them.
            state.learned = Some(postcard::from_bytes(rest).unwrap_or_default());
        }
        let jobs = state.jobs.values();
        state.jobs_bytes = Derived(jobs.map(|job| job.spec.memory_bytes()).sum());
        Ok(state)
    }
}
