//! Placement: which task starts on which worker.

use std::ops::{Bound, ControlFlow};

use super::Scheduler;
use super::takeover::HiddenStarts;
use super::worker::WorkerKey;
use crate::state::{ControlState, Job};
use crate::{StepId, StepSpec};

impl Scheduler {
    /// The workers of a pool that accept work, without those that isolated tasks have.
    pub(super) fn candidates(&self, pool: &str) -> Vec<WorkerKey> {
        let mut keys = self.accepting(pool);
        keys.retain(|key| !self.is_isolated(*key));
        keys
    }

    /// The workers of a pool that accept work.
    pub(super) fn accepting(&self, pool: &str) -> Vec<WorkerKey> {
        let workers = self.workers.in_pool(pool);
        let mut accepting = Vec::with_capacity(self.workers.count_in_pool(pool));
        let accepts_work = workers.filter(|(_, worker)| worker.accepts_work(self.now));
        accepting.extend(accepts_work.map(|(key, _)| key));
        accepting
    }

    /// Starts tasks of a step as far as there is free capacity, and returns
    /// whether some are left that fit on no worker. Steps in `hidden` are
    /// skipped, since their tasks may already run.
    pub(super) fn place_step(
        &mut self,
        state: &ControlState,
        id: StepId,
        keys: &[WorkerKey],
        hidden: HiddenStarts,
    ) -> bool {
        let Some(job) = state.jobs.get(&id.job) else {
            return false;
        };
        let Some(spec) = job.step(id) else {
            return false;
        };
        let step = &self.steps[&id];
        if hidden.may_include(step) {
            return false;
        }
        if job.queue.advice.is_none() {
            return self.place_tasks(id, job, spec, keys);
        }
        let permitted = self.permitted(id, keys);
        let has_unplaced = self.place_tasks(id, job, spec, &permitted);
        self.request_permission(id, keys);
        has_unplaced
    }

    /// Starts the waiting tasks of a step as far as the customer's cap and the free
    /// capacity allow, and returns whether some are left that fit on no worker.
    fn place_tasks(&mut self, id: StepId, job: &Job, spec: &StepSpec, keys: &[WorkerKey]) -> bool {
        if spec.gang {
            return self.place_gang(id, job, spec, keys);
        }
        let mut previous = Bound::Unbounded;
        while let Some(index) = self.next_pending(id, previous) {
            previous = Bound::Excluded(index);
            if let ControlFlow::Break(left) = self.place_task(id, index, job, spec, keys) {
                return left;
            }
        }
        false
    }

    /// The first waiting task of a step from this bound on.
    fn next_pending(&self, id: StepId, from: Bound<u32>) -> Option<u32> {
        let step = self.steps.get(&id)?;
        step.pending.range((from, Bound::Unbounded)).next().copied()
    }

    /// Starts a task of a step that is no gang, if that is possible. If no other task of the
    /// step can start now either, returns whether this one fits on no worker.
    pub(super) fn place_task(
        &mut self,
        id: StepId,
        index: u32,
        job: &Job,
        spec: &StepSpec,
        keys: &[WorkerKey],
    ) -> ControlFlow<bool> {
        let step = self.steps.get(&id);
        if step.is_some_and(|step| self.awaits_isolation(step, index)) {
            return ControlFlow::Continue(());
        }
        if self.start_window.is_full() || !self.is_within_cap(id, 1) {
            return ControlFlow::Break(false);
        }
        let Some(key) = self.choose_worker(id, index, spec, keys) else {
            // A suspect task may have to wait for a worker on which it runs alone, while
            // the other tasks can share workers.
            return match self.is_suspect_task(id, index) {
                true => ControlFlow::Continue(()),
                false => ControlFlow::Break(true),
            };
        };
        let task = id.task(index);
        self.start(task, job, spec, key, self.next_run(task));
        ControlFlow::Continue(())
    }

    /// Starts a suspect task on one of these workers, if the customer's cap, the adviser and
    /// the free capacity allow; the adviser is asked if it may allow more of them. Returns the
    /// worker.
    pub(super) fn place_suspect(
        &mut self,
        state: &ControlState,
        id: StepId,
        index: u32,
        keys: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let job = state.jobs.get(&id.job)?;
        let spec = job.step(id)?;
        if !self.is_within_cap(id, 1) {
            return None;
        }
        let chosen = if job.queue.advice.is_some() {
            self.choose_worker(id, index, spec, &self.permitted(id, keys))
        } else {
            self.choose_worker(id, index, spec, keys)
        };
        let Some(key) = chosen else {
            self.request_permission(id, keys);
            return None;
        };
        let task = id.task(index);
        self.start(task, job, spec, key, self.next_run(task));
        Some(key)
    }

    /// Whether the cap of the step's customer allows this many more tasks.
    fn is_within_cap(&mut self, id: StepId, count: u64) -> bool {
        let Some(step) = self.steps.get(&id) else {
            return false;
        };
        let allowed = self.accounts.allows(step.charge, count);
        if !allowed {
            self.record_cap_reached(id);
        }
        allowed
    }

    /// Starts the tasks of a gang together, under one run number, or none of
    /// them.
    fn place_gang(&mut self, id: StepId, job: &Job, spec: &StepSpec, keys: &[WorkerKey]) -> bool {
        let Some(step) = self.steps.get(&id) else {
            return false;
        };
        let pending: Vec<u32> = step.pending.iter().copied().collect();
        if pending.len() < spec.count as usize || !self.is_within_cap(id, pending.len() as u64) {
            return false;
        }
        let mut placements = Vec::with_capacity(pending.len());
        let mut keys = keys.to_vec();
        for index in self.suspects_first(id, &pending) {
            let Some(key) = self.choose_worker(id, index, spec, &keys) else {
                break;
            };
            if self.is_suspect_task(id, index) {
                keys.retain(|other| *other != key);
            }
            // The capacity is reserved while workers for the other tasks are
            // chosen.
            self.workers[key].used += spec.footprint();
            if let Some(step) = self.steps.get_mut(&id) {
                *step.placed.entry(key).or_default() += 1;
            }
            placements.push((index, key));
        }
        for (_, key) in &placements {
            self.workers[*key].used -= spec.footprint();
            if let Some(step) = self.steps.get_mut(&id) {
                step.unassign(*key);
            }
        }
        if placements.len() < pending.len() {
            return true;
        }
        let runs = pending.iter().map(|index| self.next_run(id.task(*index)));
        let run = runs.max().unwrap_or_default();
        for (index, key) in placements {
            self.start(id.task(index), job, spec, key, run);
        }
        false
    }
}
