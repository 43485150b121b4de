//! Refuses jobs for which the leader has no memory.

use std::time::{Duration, Instant};

use cleat_jobs::{ControlState, JobId, JobSpec};
use indexmap::IndexMap;

/// Jobs that take up more than this, in bytes, are large, and leave the rest to small ones.
const LARGE_JOB_BYTES: u64 = 32 * 1_024;
/// The part of the memory that large jobs leave to small ones, as a divisor.
const SMALL_JOBS_SHARE: u64 = 4;
/// How long a job counts that was proposed and is not known to be stored. Its outcome is certain
/// long before.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(60);

/// The memory of accepted jobs and of those that are being stored.
///
/// A job that was proposed is never refused for want of memory when it is submitted again: it may
/// be stored yet.
#[derive(Debug)]
pub(crate) struct JobMemory {
    limit: u64,
    proposed: IndexMap<JobId, Proposed>,
    /// Invariant: the sum of `proposed`.
    proposed_bytes: u64,
}

#[derive(Debug)]
struct Proposed {
    bytes: u64,
    at: Instant,
}

impl JobMemory {
    /// Memory of so many bytes.
    pub(crate) fn new(limit: u64) -> JobMemory {
        JobMemory {
            limit,
            proposed: IndexMap::new(),
            proposed_bytes: 0,
        }
    }

    /// Counts a job that is to be proposed, if there is memory for it; whether there is.
    pub(crate) fn propose(
        &mut self,
        state: &ControlState,
        id: JobId,
        spec: &JobSpec,
        now: Instant,
    ) -> bool {
        if self.proposed.contains_key(&id) {
            return true;
        }
        let bytes = spec.memory_bytes();
        if !self.fits(state, bytes) {
            self.forget_settled(state, now);
        }
        if !self.fits(state, bytes) {
            return false;
        }
        self.proposed_bytes += bytes;
        self.proposed.insert(id, Proposed { bytes, at: now });
        true
    }

    /// The job is stored, or never will be.
    pub(crate) fn settle(&mut self, id: JobId) {
        if let Some(proposed) = self.proposed.swap_remove(&id) {
            self.proposed_bytes -= proposed.bytes;
        }
    }

    fn fits(&self, state: &ControlState, bytes: u64) -> bool {
        let limit = match bytes > LARGE_JOB_BYTES {
            true => self.limit - self.limit / SMALL_JOBS_SHARE,
            false => self.limit,
        };
        let held = state.jobs_bytes().saturating_add(self.proposed_bytes);
        held.saturating_add(bytes) <= limit
    }

    /// Forgets the jobs whose proposals were given up, and which are stored or too old.
    fn forget_settled(&mut self, state: &ControlState, now: Instant) {
        let settled = |id: &JobId, proposed: &Proposed| {
            let age = now.saturating_duration_since(proposed.at);
            state.job_state(*id).is_some() || age >= PROPOSAL_TIMEOUT
        };
        self.proposed.retain(|id, proposed| !settled(id, proposed));
        let bytes = self.proposed.values().map(|proposed| proposed.bytes);
        self.proposed_bytes = bytes.sum();
    }
}
