//! Steps behind those for which a pass withholds capacity.
//!
//! A pass ends after some steps that wait for capacity in use. Labels, sizes, permissions and
//! limits for each worker confine such steps to a part of the workers, so capacity is withheld
//! on those only that one of them could use. All other workers are open to the steps behind.
//! Once capacity was withheld for too long, so are the others, except those that are reserved
//! for the first step. Both happen at ticks, since the search may be long.

use super::Scheduler;
use super::decision::WaitReason;
use super::pass::Pass;
use super::ready::Rank;
use super::waiting::TaskRoom;
use super::worker::{Worker, WorkerKey};
use crate::state::ControlState;
use crate::{Size, StepId};

/// The number of steps that one pass looks at behind those for which capacity was withheld.
const MAX_SHARING_STEPS: usize = 2_048;
/// The number of these that it examines and can't place, though some worker has as much of
/// each resource free.
const MAX_UNPLACED_SHARING_STEPS: usize = 64;

impl Scheduler {
    /// Examines the steps behind the one with rank `last`, on the workers that none of the
    /// steps could use for which the pass withholds capacity.
    pub(super) fn share_other_workers(
        &mut self,
        state: &ControlState,
        pass: &mut Pass,
        beneficiaries: &[StepId],
        last: Rank,
    ) {
        let withheld = self.workers_of_use(beneficiaries, &pass.usable);
        pass.leave_out(&withheld);
        if pass.usable.is_empty() {
            return;
        }
        pass.max_free = self.max_free_capacity(&pass.usable);
        self.place_next_beneficiary(state, pass);
        self.examine_behind(state, pass, last);
    }

    /// Examines the steps behind the one with rank `last`, on all workers but those that are
    /// reserved for the first step that waits for capacity.
    pub(super) fn share_capacity(&mut self, state: &ControlState, pass: &mut Pass, last: Rank) {
        let ready = self.ready.get(&pass.pool);
        let first = ready.and_then(|ready| ready.withholding.first_beneficiary());
        if let Some(first) = first {
            self.reserve_workers(pass, first);
        }
        self.examine_behind(state, pass, last);
    }

    /// The workers that any of these steps could use once the runs have ended there that end by
    /// themselves.
    fn workers_of_use(&self, ids: &[StepId], workers: &[WorkerKey]) -> Vec<WorkerKey> {
        let is_of_use = |key: &WorkerKey| ids.iter().any(|id| self.could_use(*id, *key));
        workers.iter().copied().filter(is_of_use).collect()
    }

    fn could_use(&self, id: StepId, key: WorkerKey) -> bool {
        let Some(step) = self.steps.get(&id) else {
            return false;
        };
        let worker = &self.workers[key];
        step.has_label_of(worker)
            && TaskRoom::on(worker, step, key).after_ends > 0
            && (!step.advised || self.ticket(id, key).is_some())
    }

    /// Starts tasks of the step for which workers are reserved beside the withheld ones. As
    /// long as it waits for capacity there, nothing else starts on these.
    fn place_next_beneficiary(&mut self, state: &ControlState, pass: &mut Pass) {
        let ready = self.ready.get_mut(&pass.pool);
        let next = ready.and_then(|ready| ready.withholding.next_beneficiary.take());
        let Some(id) = next else {
            return;
        };
        self.examine_step(state, pass, id);
        self.reserve_if_waiting(pass, id);
    }

    /// Reserves workers for a step, if it waits for capacity and none are reserved for another.
    /// Returns whether it does.
    fn reserve_if_waiting(&mut self, pass: &mut Pass, id: StepId) -> bool {
        let waits = self.lacks_next_beneficiary(pass)
            && self.pending_tasks(id) > 0
            && self.wait_reason(id, &pass.usable) == WaitReason::Capacity;
        if waits && let Some(ready) = self.ready.get_mut(&pass.pool) {
            ready.withholding.next_beneficiary = Some(id);
            self.reserve_workers(pass, id);
        }
        waits
    }

    fn lacks_next_beneficiary(&self, pass: &Pass) -> bool {
        let ready = self.ready.get(&pass.pool);
        ready.is_some_and(|ready| ready.withholding.lacks_next_beneficiary())
    }

    fn reserve_workers(&self, pass: &mut Pass, id: StepId) {
        pass.leave_out(&self.workers_to_reserve(id, &pass.usable));
        pass.max_free = self.max_free_capacity(&pass.usable);
    }

    /// Examines steps from where the last such pass ended, or behind the one with rank `last`.
    fn examine_behind(&mut self, state: &ControlState, pass: &mut Pass, last: Rank) {
        let Some(ready) = self.ready.get(&pass.pool) else {
            return;
        };
        let mut previous = ready.withholding.resume_after.max(Some(last));
        let mut max_reclaimable = self.max_reclaimable_capacity(pass);
        let (mut examined, mut tries) = (0, 0);
        while let Some(rank) = self.next_ready_step(&pass.pool, previous, &pass.left_out) {
            let id = rank.step();
            previous = Some(rank);
            examined += 1;
            if !self.leave_out_if_confined(id, pass) {
                let waiting = pass.waiting.len();
                let may_fit = self.may_fit(id, pass.max_free);
                if may_fit {
                    self.examine_step(state, pass, id);
                }
                let may_wait = !may_fit
                    && self.lacks_next_beneficiary(pass)
                    && self.may_fit(id, max_reclaimable);
                tries += usize::from(may_wait);
                let has_waited = may_wait || pass.waiting.len() > waiting;
                if has_waited && self.reserve_if_waiting(pass, id) {
                    max_reclaimable = self.max_reclaimable_capacity(pass);
                }
            }
            let unplaced = pass.waiting.len() + pass.parked;
            if examined >= MAX_SHARING_STEPS
                || unplaced.max(tries) >= MAX_UNPLACED_SHARING_STEPS
                || self.has_filled_window(&pass.pool)
            {
                return self.resume_sharing_after(&pass.pool, previous);
            }
        }
        self.resume_sharing_after(&pass.pool, None);
    }

    /// The maximum of each resource that is free on any usable worker once all runs have ended
    /// that end by themselves.
    fn max_reclaimable_capacity(&self, pass: &Pass) -> Size {
        let workers = pass.usable.iter().map(|key| &self.workers[*key]);
        let reclaimable = workers.map(Worker::reclaimable_capacity);
        reclaimable.fold(Size::default(), Size::component_max)
    }

    fn may_fit(&self, id: StepId, max_free: Size) -> bool {
        let step = self.steps.get(&id);
        step.is_some_and(|step| step.may_fit(max_free))
    }

    /// Leaves a step out of the rest of the pass, with all that need the same label, if no worker
    /// has it that the pass may still use. Returns whether it does.
    fn leave_out_if_confined(&self, id: StepId, pass: &mut Pass) -> bool {
        let step = self.steps.get(&id);
        let Some(label) = step.and_then(|step| step.required_label.as_ref()) else {
            return step.is_none();
        };
        let has_label = |key: &WorkerKey| self.workers[*key].has_label(label);
        let is_confined = !pass.usable.iter().any(has_label);
        if is_confined {
            pass.left_out.labels.insert(label.clone());
        }
        is_confined
    }

    fn resume_sharing_after(&mut self, pool: &str, rank: Option<Rank>) {
        if let Some(ready) = self.ready.get_mut(pool) {
            ready.withholding.resume_after = rank;
        }
    }
}
