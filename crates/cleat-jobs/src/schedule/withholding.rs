//! How long free capacity is withheld from other steps for those that wait for it.
//!
//! A large task fits on a worker only once several runs have ended there. If smaller tasks
//! behind it took the capacity of each run that ends, it might wait forever. So a pass ends
//! after some steps that wait for capacity, which then accumulates on the workers that they
//! could use. That helps only if the capacity comes free soon: after a while without a start
//! of any of these steps, others may use it for a time, except on workers that are reserved
//! for the first of them.

use std::time::Duration;

use super::Scheduler;
use super::ready::Rank;
use super::waiting::TaskRoom;
use super::worker::WorkerKey;
use crate::{Size, StepId};

/// How long capacity is withheld without a start of any step that waits for it. A job that
/// could start is kept waiting for no longer in a pool that is mostly idle.
const MAX_WITHHOLDING: Duration = Duration::from_secs(2);
/// The same while at least half of the pool is in use.
const MAX_WITHHOLDING_IN_USE: Duration = Duration::from_secs(10);
/// How long other steps may then use it.
const SHARING: Duration = Duration::from_secs(4);
/// At most one worker in this many is then reserved.
const WORKERS_PER_RESERVATION: usize = 2;

/// Whether the free capacity of a pool is withheld. The default is a pool whose passes
/// examine all waiting steps.
#[derive(Debug, Default)]
pub(super) struct Withholding {
    /// The steps for which the last pass withheld capacity.
    beneficiaries: Vec<StepId>,
    /// Since when capacity is withheld without a start of such a step.
    since: Option<Duration>,
    /// Until when others may use the capacity.
    shared_until: Option<Duration>,
    /// The last of the other steps that was examined, if some are left behind it.
    pub(super) resume_after: Option<Rank>,
    /// The step behind the beneficiaries for which other workers are reserved.
    pub(super) next_beneficiary: Option<StepId>,
}

impl Withholding {
    /// Whether a pass came to steps for which it withholds capacity, or shares it again.
    pub(super) fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Whether capacity is withheld now, and no other workers are reserved for a step behind.
    pub(super) fn lacks_next_beneficiary(&self) -> bool {
        let is_withheld = self.since.is_some() && self.shared_until.is_none();
        is_withheld && self.next_beneficiary.is_none()
    }

    /// Whether capacity is withheld for this step among others.
    pub(super) fn benefits(&self, id: StepId) -> bool {
        self.beneficiaries.contains(&id)
    }

    /// The step for which capacity is withheld before all others.
    pub(super) fn first_beneficiary(&self) -> Option<StepId> {
        self.beneficiaries.first().copied()
    }

    /// Whether capacity was withheld for so long that it matters how much is in use.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        let since = self.since.filter(|_| self.shared_until.is_none());
        since.is_some_and(|since| now >= since + MAX_WITHHOLDING)
    }

    /// Records that a pass ends after these steps, which wait for capacity. Returns whether
    /// the capacity is withheld from those behind. `half_used` is whether at least half of
    /// the pool is in use; it has no effect unless withholding is overdue.
    pub(super) fn withhold(
        &mut self,
        now: Duration,
        beneficiaries: Vec<StepId>,
        half_used: bool,
    ) -> bool {
        self.beneficiaries = beneficiaries;
        if self.shared_until.is_some_and(|until| now >= until) {
            self.shared_until = None;
            self.since = None;
        }
        if self.shared_until.is_some() {
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let limit = if half_used {
            MAX_WITHHOLDING_IN_USE
        } else {
            MAX_WITHHOLDING
        };
        if now < since + limit {
            return true;
        }
        self.shared_until = Some(now + SHARING);
        self.resume_after = None;
        self.next_beneficiary = None;
        false
    }
}

impl Scheduler {
    /// Whether at least half of any resource of the workers is in use.
    pub(super) fn is_half_used(&self, workers: &[WorkerKey]) -> bool {
        let (mut used, mut capacity) = (Size::default(), Size::default());
        for key in workers {
            let worker = &self.workers[*key];
            used += worker.record.capacity - worker.free_capacity();
            capacity += worker.record.capacity;
        }
        let twice = used.scaled(2);
        twice.cpu_milli >= capacity.cpu_milli || twice.memory_mb >= capacity.memory_mb
    }

    /// The workers that are reserved for a step that waits for capacity while others use the
    /// rest: those that lack least of what it needs, at most one in
    /// [`WORKERS_PER_RESERVATION`].
    pub(super) fn workers_to_reserve(&self, id: StepId, workers: &[WorkerKey]) -> Vec<WorkerKey> {
        let Some(step) = self.steps.get(&id) else {
            return Vec::new();
        };
        let room = |key: WorkerKey| TaskRoom::on(&self.workers[key], step, key).after_ends;
        let lacks = |key: &WorkerKey| {
            let lacking = step.footprint - self.workers[*key].free_capacity();
            (lacking.cpu_milli, lacking.memory_mb, *key)
        };
        let mut suitable = workers.to_vec();
        suitable.retain(|key| step.has_label_of(&self.workers[*key]) && room(*key) > 0);
        suitable.sort_unstable_by_key(lacks);
        suitable.truncate(workers.len() / WORKERS_PER_RESERVATION);
        let mut missing = step.min_start_count();
        let is_needed = |key: &WorkerKey| {
            let needed = missing > 0;
            missing = missing.saturating_sub(room(*key));
            needed
        };
        suitable.into_iter().take_while(is_needed).collect()
    }
}
