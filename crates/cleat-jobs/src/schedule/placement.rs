//! Placement: which task starts on which worker.

use indexmap::IndexMap;

use super::attempt::{Attempt, Phase};
use super::event::{Order, TaskOrder};
use super::worker::{WorkerKey, millis};
use super::{Decision, Scheduler};
use crate::state::{ControlState, Job};
use crate::{Run, Size, StepId, StepSpec, TaskId};

/// The number of run numbers that each owner can assign to a task. An owner
/// that restarts a task each second for a day uses fewer.
pub(super) const RUN_NUMBERS_PER_OWNER: u64 = 1 << 20;
/// The number of steps that fit on no worker after which a scheduling pass over
/// a pool ends. Free capacity can then accumulate for large tasks, and a pass
/// over a full pool is short.
const MAX_UNPLACED_STEPS: usize = 12;

impl Scheduler {
    /// Starts the tasks that fit, in the pools where something changed.
    pub(super) fn place_ready_steps(&mut self, state: &ControlState) {
        for pool in self.take_dirty_pools() {
            self.schedule_pool(state, &pool);
        }
    }

    fn schedule_pool(&mut self, state: &ControlState, pool: &str) {
        let mut candidates = self.candidates(pool);
        if !pool_enforces_capacity(state, pool) {
            // The recorded capacity of the other workers may exceed their
            // current capacity.
            candidates.retain(|key| self.workers[*key].capacity_known);
        }
        if candidates.is_empty() {
            return;
        }
        self.reserve_for_suspects(state, &candidates);
        // Starting tasks does not change this position, so it is determined
        // once per pass.
        let unknown_until = [
            self.unknown_until(pool),
            self.unknown_until_for_copies(pool),
        ];
        let mut max_free = self.max_free_capacity(&candidates);
        let mut unplaced = 0;
        for id in self.ready_steps(pool, max_free) {
            if !self
                .steps
                .get(&id)
                .is_some_and(|step| step.may_fit(max_free))
            {
                unplaced += 1;
            } else if self.place_step(state, id, &candidates, unknown_until) {
                unplaced += 1;
                max_free = self.max_free_capacity(&candidates);
            }
            if unplaced >= MAX_UNPLACED_STEPS {
                return;
            }
        }
    }

    /// The maximum of each resource that is free on any of the workers.
    fn max_free_capacity(&self, keys: &[WorkerKey]) -> Size {
        let free = keys.iter().map(|key| self.workers[*key].free_capacity());
        free.fold(Size::default(), Size::component_max)
    }

    /// The workers of a pool that accept work.
    pub(super) fn candidates(&self, pool: &str) -> Vec<WorkerKey> {
        let workers = self.workers.in_pool(pool);
        let accepting = workers.filter(|(_, worker)| worker.accepts_work(self.now));
        let keys = accepting.map(|(key, _)| key);
        keys.filter(|key| !self.is_isolated(*key)).collect()
    }

    /// Starts tasks of a step as far as there is free capacity, and returns
    /// whether some are left that fit on no worker. Steps that became ready up
    /// to the log position `unknown_until` are skipped, since their tasks may
    /// already run. Its second value is for steps whose tasks may have two
    /// runs.
    fn place_step(
        &mut self,
        state: &ControlState,
        id: StepId,
        keys: &[WorkerKey],
        unknown_until: [Option<u64>; 2],
    ) -> bool {
        let Some(job) = state.jobs.get(&id.job) else {
            return false;
        };
        let Some(spec) = job.step(id) else {
            return false;
        };
        let step = &self.steps[&id];
        let [single, copied] = unknown_until;
        let allows_two_runs = step.speculative && step.suspect_tasks().next().is_none();
        let unknown_until = if allows_two_runs { copied } else { single };
        if unknown_until.is_some_and(|until| step.ready_index <= until) {
            return false;
        }
        let pending: Vec<u32> = step.pending.iter().copied().collect();
        if job.queue.advice.is_none() {
            return self.place_tasks(id, job, spec, pending, keys);
        }
        let permitted = self.permitted(id, keys);
        let has_unplaced = self.place_tasks(id, job, spec, pending, &permitted);
        let pending = self.steps.get(&id).map_or(0, |step| step.pending.len());
        if pending > 0 {
            self.ask_adviser(id, pending, keys);
        }
        has_unplaced
    }

    fn place_tasks(
        &mut self,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
        pending: Vec<u32>,
        keys: &[WorkerKey],
    ) -> bool {
        if spec.gang {
            return self.place_gang(id, job, spec, &pending, keys);
        }
        for index in pending {
            if !self.is_within_cap(id, 1) {
                return false;
            }
            let Some(key) = self.choose_worker(id, index, spec, keys) else {
                if self.is_suspect_task(id, index) {
                    // A suspect task may have to wait for a worker on which it
                    // runs alone, while the other tasks can share workers.
                    continue;
                }
                return true;
            };
            self.start(
                id.task(index),
                job,
                spec,
                key,
                self.next_run(id.task(index)),
            );
        }
        false
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
    fn place_gang(
        &mut self,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
        pending: &[u32],
        keys: &[WorkerKey],
    ) -> bool {
        if pending.len() < spec.count as usize || !self.is_within_cap(id, pending.len() as u64) {
            return false;
        }
        let mut placements = Vec::with_capacity(pending.len());
        let mut keys = keys.to_vec();
        for index in self.suspects_first(id, pending) {
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

    /// Chooses the worker for a task: in the preferred rack, and with the least
    /// free capacity that suffices, so that the free capacity of other workers
    /// remains for large tasks.
    pub(super) fn choose_worker(
        &self,
        id: StepId,
        index: u32,
        spec: &StepSpec,
        keys: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let step = self.steps.get(&id)?;
        let footprint = spec.footprint();
        let rack = self.preferred_rack(id, spec, keys);
        let rank = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            let free = worker.free_capacity();
            let off_rack = rack.is_some() && worker.record.rack.as_deref() != rack;
            let failed = step.failed_on.get(&index) == Some(key);
            let remaining = free.saturating_sub(footprint);
            // A best-effort task prefers the worker with the most free
            // processor time.
            let cpu = if spec.fills {
                u64::MAX - remaining.cpu_milli
            } else {
                remaining.cpu_milli
            };
            // Long-running tasks are packed on few workers, and other work
            // fills these first, so that the remaining workers become idle and
            // their machines can move to other pools.
            let may_become_idle = worker.long_running == 0;
            let isolation = self.isolation_rank(step, index, worker);
            (
                failed,
                off_rack,
                isolation,
                may_become_idle,
                cpu,
                remaining.memory_mb,
                *key,
            )
        };
        let fits = |key: &&WorkerKey| {
            let worker = &self.workers[**key];
            let label = spec.required_label.as_ref();
            let has_slot = |most| step.placed.get(*key).is_none_or(|placed| *placed < most);
            footprint.fits(worker.free_capacity())
                && !self.has_superseded_on(**key, id.task(index))
                && self.answered_recently(step, index, worker)
                && self.provides_isolation(step, index, **key)
                && label.is_none_or(|label| worker.has_label(label))
                && spec.max_per_worker.is_none_or(has_slot)
        };
        keys.iter()
            .filter(fits)
            .min_by_key(|key| rank(key))
            .copied()
    }

    /// The rack in which a step's tasks should run, if the step prefers one.
    fn preferred_rack<'a>(
        &'a self,
        id: StepId,
        spec: &'a StepSpec,
        keys: &[WorkerKey],
    ) -> Option<&'a str> {
        if let Some(rack) = &spec.data_rack {
            return Some(rack);
        }
        if !spec.rack_local {
            return None;
        }
        let placed = self.steps.get(&id)?.placed.iter();
        let mut occupied = placed.filter(|(_, count)| **count > 0).map(|(key, _)| *key);
        if let Some(key) = occupied.next() {
            return self.workers[key].record.rack.as_deref();
        }
        self.rack_with_most_free_cpu(keys)
    }

    fn rack_with_most_free_cpu(&self, keys: &[WorkerKey]) -> Option<&str> {
        let mut free_cpu: IndexMap<&str, u64> = IndexMap::new();
        for key in keys {
            let worker = &self.workers[*key];
            if let Some(rack) = worker.record.rack.as_deref() {
                *free_cpu.entry(rack).or_default() += worker.free_capacity().cpu_milli;
            }
        }
        free_cpu
            .into_iter()
            .max_by_key(|(_, free)| *free)
            .map(|(rack, _)| rack)
    }

    /// A run number that is higher than all that this owner or an earlier one
    /// assigned to the task.
    fn next_run(&self, task: TaskId) -> Run {
        let of_job = self.start_counts.get(&task.job());
        let started = of_job.and_then(|starts| starts.get(&task)).copied();
        let started = started.unwrap_or_default();
        let base = u64::from(self.owner.ordinal) * RUN_NUMBERS_PER_OWNER;
        Run(base + u64::from(started) + 1)
    }

    fn start(&mut self, task: TaskId, job: &Job, spec: &StepSpec, key: WorkerKey, run: Run) {
        let base = u64::from(self.owner.ordinal) * RUN_NUMBERS_PER_OWNER;
        let count = u32::try_from(run.0 - base).unwrap_or(u32::MAX);
        let footprint = spec.footprint();
        let checkpoint = self.checkpoint(task, job, spec);
        let free = self.workers[key].free_capacity();
        let Some(deadline_ms) = self.extend_lease(key) else {
            return;
        };
        let starts = self.start_counts.entry(task.job()).or_default();
        starts.insert(task, count);
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        step.assign(task.index, key);
        let charge = step.charge;
        let suspicion = step.suspicion(task.index);
        let waited_ms = millis(self.now - step.active_since);
        let attempt = Attempt {
            run,
            worker: key,
            phase: Phase::Starting,
            footprint,
            charge,
            long_running: spec.long_running,
            started_at: self.now,
            at_full_speed: false,
            suspicion,
            checkpoint: checkpoint.clone(),
        };
        self.add_attempt(task, attempt);
        self.log_start(task, run, key, free, waited_ms, !checkpoint.is_empty());
        let order = Order::Start {
            spec: job.spec.clone(),
            checkpoint,
            deadline_ms,
            ticket: self.ticket(task.step, key),
        };
        self.send_order(key, TaskOrder { task, run, order });
    }

    fn log_start(
        &mut self,
        task: TaskId,
        run: Run,
        key: WorkerKey,
        free: Size,
        waited_ms: u64,
        resumes: bool,
    ) {
        let worker = self.worker_name(key);
        self.log(Decision::Start {
            task: task.to_string().into(),
            run: run.0,
            worker,
            free_cpu_milli: free.cpu_milli,
            waited_ms,
            resumes,
        });
    }

    /// Extends the worker's lease and returns its new end on the worker's
    /// clock.
    fn extend_lease(&mut self, key: WorkerKey) -> Option<u64> {
        let lease = millis(self.cfg.lease);
        let worker = &mut self.workers[key];
        let until = worker.clock_ms(self.now)? + lease;
        worker.max_lease_end_ms = worker.max_lease_end_ms.max(until);
        Some(until)
    }

    /// The latest checkpoint of a task that this owner received, or else the
    /// one in the replicated state.
    fn checkpoint(&self, task: TaskId, job: &Job, spec: &StepSpec) -> Box<str> {
        let key = if spec.gang { 0 } else { task.index };
        let received = self
            .steps
            .get(&task.step)
            .and_then(|step| step.checkpoint(key));
        let stored = || {
            job.progress(task.step)
                .and_then(|step| step.checkpoint(key))
        };
        received.or_else(stored).unwrap_or_default().into()
    }
}

/// Whether the workers of a pool reject tasks that do not fit. A pool that is
/// not configured has no work.
fn pool_enforces_capacity(state: &ControlState, pool: &str) -> bool {
    let pools = state.catalogue.as_ref().map(|catalogue| &catalogue.pools);
    let pool = pools.and_then(|pools| pools.get(pool));
    pool.is_none_or(|pool| pool.enforces_capacity)
}
