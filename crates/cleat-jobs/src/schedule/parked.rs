//! Steps that a scheduling pass leaves out, since it could not place them whatever runs
//! end by themselves.
//!
//! Each step that a pass examines in vain costs time, and a pass may examine only a few of
//! those. So a step that waits for something else than capacity in use is parked: passes
//! leave it out until something changes that it may have waited for.

use std::collections::BTreeSet;

use super::Scheduler;
use super::decision::WaitReason;
use super::waiting::UnplacedSteps;
use super::worker::{WorkerKey, Workers};
use crate::collections::{IndexMap, IndexSet};
use crate::{JobId, Size, StepId};

/// The maximum number of parked steps that one pass examines again, however many may be
/// placed after a change.
const MAX_RETRIES_PER_PASS: usize = 256;
/// The number of steps without a suitable worker that are examined again at each tick,
/// whether or not a change was noticed.
const UNSUITABLE_PER_TICK: usize = 8;
/// The same for excluded steps, whose wait may end with time.
const EXCLUDED_PER_TICK: usize = 64;

/// The lowest step id.
const FIRST_STEP: StepId = StepId {
    job: JobId(0),
    occurrence: 0,
    step: 0,
};

/// A parked step.
#[derive(Clone, Copy, Debug)]
struct Parked {
    reason: WaitReason,
    /// Its place in the order of parking.
    number: u64,
    /// The resources that each of its tasks uses on a worker.
    footprint: Size,
    /// Whether more of its tasks on a worker that already has room for one may help.
    gang: bool,
}

impl Parked {
    /// Whether the step may be placed now that a worker offers `capacity`, and offered
    /// `before` when the step was parked, if it was there.
    fn may_gain(&self, before: Option<Size>, capacity: Size) -> bool {
        let tasks = |capacity| self.footprint.count_in(capacity);
        let before = before.map_or(0, tasks);
        let now = tasks(capacity);
        now > before && (self.gang || before == 0)
    }
}

/// The parked steps of one pool.
#[derive(Debug, Default)]
pub(super) struct ParkedSteps {
    steps: IndexMap<StepId, Parked>,
    /// The steps by reason and in the order of parking.
    ///
    /// Invariant: one entry for each of `steps`.
    by_age: BTreeSet<(WaitReason, u64, StepId)>,
    /// The steps that are to be examined again.
    ///
    /// Invariant: a subset of `steps`.
    retries: IndexSet<StepId>,
    /// The number of steps that were ever parked.
    count: u64,
    /// The workers that the last pass could use, and the capacity that they offer once all
    /// runs that end by themselves have ended.
    ///
    /// Invariant: each of `steps` was parked by a pass since which no worker that it may
    /// be placed on was added or grew, unless it is among `retries`.
    offers: Vec<Offer>,
    /// [`Scheduler::capacity_gains`] as of `offers`.
    known_gains: u64,
}

/// The capacity that a worker offers once all runs that end by themselves have ended.
#[derive(Clone, Copy, Debug)]
struct Offer {
    worker: WorkerKey,
    capacity: Size,
}

impl ParkedSteps {
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Why a step is parked, if it is.
    fn reason(&self, id: StepId) -> Option<WaitReason> {
        self.steps.get(&id).map(|parked| parked.reason)
    }

    /// The number of steps by reason.
    pub(super) fn counts(&self) -> UnplacedSteps {
        let total = self.steps.len();
        let unsuitable = self.by_age.range((WaitReason::Unsuitable, 0, FIRST_STEP)..);
        let unsuitable = unsuitable.count();
        let excluded = total - unsuitable;
        UnplacedSteps::from_iter([
            (WaitReason::Unsuitable, unsuitable),
            (WaitReason::Excluded, excluded),
        ])
    }

    /// Whether steps are left to be examined again.
    fn has_retries(&self) -> bool {
        !self.retries.is_empty()
    }

    fn park(&mut self, id: StepId, parked: Parked) {
        self.remove(id);
        self.by_age.insert((parked.reason, parked.number, id));
        self.steps.insert(id, parked);
    }

    /// Removes a step. Returns whether it was parked.
    pub(super) fn remove(&mut self, id: StepId) -> bool {
        let Some(parked) = self.steps.swap_remove(&id) else {
            return false;
        };
        self.by_age.remove(&(parked.reason, parked.number, id));
        self.retries.swap_remove(&id);
        true
    }

    /// Removes the steps that the next pass examines again.
    fn take_retries(&mut self) -> Vec<StepId> {
        let count = self.retries.len().min(MAX_RETRIES_PER_PASS);
        let taken: Vec<StepId> = self.retries.drain(..count).collect();
        for id in &taken {
            self.remove(*id);
        }
        taken
    }

    /// Has the steps examined again that were parked first.
    fn retry_oldest(&mut self) {
        let limits = [
            (WaitReason::Excluded, EXCLUDED_PER_TICK),
            (WaitReason::Unsuitable, UNSUITABLE_PER_TICK),
        ];
        for (reason, limit) in limits {
            let oldest = self.by_age.range((reason, 0, FIRST_STEP)..);
            let oldest = oldest.take_while(|(other, ..)| *other == reason);
            self.retries.extend(oldest.take(limit).map(|(.., id)| *id));
        }
    }

    /// Whether the offers are those of these workers, without a gain since.
    fn knows(&self, workers: &[WorkerKey], gains: u64) -> bool {
        let known = self.offers.iter().map(|offer| &offer.worker);
        self.known_gains == gains && known.eq(workers)
    }

    /// Has the steps examined again that a worker may suit which was not among the offers
    /// of the last pass, or has grown since.
    fn retry_for_gains(&mut self, offers: &[Offer]) {
        let before: IndexMap<_, _> = self.offers.iter().map(|o| (o.worker, o.capacity)).collect();
        for Offer { worker, capacity } in offers {
            let known = before.get(worker).copied();
            if known.is_some_and(|known| capacity.fits(known)) {
                continue;
            }
            let steps = self.steps.iter();
            let gaining = steps.filter(|(_, parked)| parked.may_gain(known, *capacity));
            self.retries.extend(gaining.map(|(id, _)| *id));
        }
    }
}

impl Scheduler {
    /// Leaves a step out of the passes over its pool until a change that it may wait for.
    pub(super) fn park_step(&mut self, id: StepId, reason: WaitReason) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let Some(ready) = self.ready.get_mut(&step.pool) else {
            return;
        };
        ready.remove(id);
        ready.parked.count += 1;
        let parked = Parked {
            reason,
            number: ready.parked.count,
            footprint: step.footprint,
            gang: step.gang,
        };
        ready.parked.park(id, parked);
    }

    /// Whether a step waits that no worker could hold, whatever ends by itself.
    pub(super) fn is_unsuitable(&self, id: StepId) -> bool {
        let step = self.steps.get(&id);
        let ready = step.and_then(|step| self.ready.get(&step.pool));
        ready.is_some_and(|ready| ready.parked.reason(id) == Some(WaitReason::Unsuitable))
    }

    /// Has a pass examine a step again if it is parked, since fewer of its tasks run.
    pub(super) fn unpark_step(&mut self, id: StepId) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let parked = self
            .ready
            .get_mut(&step.pool)
            .map(|ready| &mut ready.parked);
        if parked.is_some_and(|parked| parked.remove(id)) {
            self.mark_step_ready(id);
        }
    }

    /// Adds the parked steps to a pass that may be placed on these workers since they were
    /// parked. Returns whether the workers or what they offer have changed.
    pub(super) fn retry_parked_steps(&mut self, pool: &str, workers: &[WorkerKey]) -> bool {
        let gains = self.capacity_gains;
        let Some(ready) = self.ready.get_mut(pool) else {
            return false;
        };
        let parked = &mut ready.parked;
        if parked.is_empty() {
            return false;
        }
        let changed = !parked.knows(workers, gains);
        if changed {
            parked.retry_for_gains(&offers(&self.workers, workers));
        }
        let retries = parked.take_retries();
        ready.rank_later(retries);
        if ready.parked.has_retries() {
            self.request_scheduling(pool);
        }
        changed
    }

    /// Records what the workers offer at the end of a pass.
    pub(super) fn record_offers(&mut self, pool: &str, workers: &[WorkerKey]) {
        let gains = self.capacity_gains;
        if let Some(ready) = self.ready.get_mut(pool)
            && !ready.parked.is_empty()
        {
            ready.parked.offers = offers(&self.workers, workers);
            ready.parked.known_gains = gains;
        }
    }

    /// At a tick, has the steps of all pools examined again that were parked first.
    pub(super) fn retry_oldest_parked_steps(&mut self) {
        for ready in self.ready.values_mut() {
            ready.parked.retry_oldest();
        }
    }
}

fn offers(workers: &Workers, keys: &[WorkerKey]) -> Vec<Offer> {
    let offer = |key: &WorkerKey| Offer {
        worker: *key,
        capacity: workers[*key].reclaimable_capacity(),
    };
    keys.iter().map(offer).collect()
}
