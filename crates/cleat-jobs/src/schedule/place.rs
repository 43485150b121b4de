//! Which task starts on which worker.

use indexmap::IndexMap;

use super::attempt::{Attempt, Phase};
use super::event::{Order as Ordered, TaskOrder};
use super::worker::{WorkerKey, millis};
use super::{Decision, Scheduler};
use crate::state::{ControlState, Job};
use crate::{Run, Size, StepId, StepSpec, TaskId};

/// How many run numbers each owner has for a task: an owner that lasts for a
/// day and restarts a task each second stays below it.
const RUNS_AN_OWNER: u64 = 1 << 20;
/// How many steps may find no place before a pass over a pool ends, so that
/// room gathers for large tasks and a pass over a full pool is short.
const MISFITS: usize = 12;

impl Scheduler {
    /// Starts what has a place, in the pools where something changed.
    pub(super) fn place(&mut self, state: &ControlState) {
        for pool in self.take_unsettled() {
            self.place_pool(state, &pool);
        }
    }

    fn place_pool(&mut self, state: &ControlState, pool: &str) {
        let mut candidates = self.candidates(pool);
        if !enforces_capacity(state, pool) {
            // What was offered before may be more than there is by now.
            candidates.retain(|key| self.workers[*key].sized);
        }
        if candidates.is_empty() {
            return;
        }
        self.empty_for_suspects(state, &candidates);
        // Placing tells nothing new of the workers.
        let unknown_until = self.unknown_until(pool);
        let mut room = self.largest_room(&candidates);
        let mut misfits = 0;
        for id in self.ready_steps(pool, room) {
            if !self.steps.get(&id).is_some_and(|step| step.may_fit(room)) {
                misfits += 1;
            } else if self.place_step(state, id, &candidates, unknown_until) {
                misfits += 1;
                room = self.largest_room(&candidates);
            }
            if misfits >= MISFITS {
                return;
            }
        }
    }

    /// The most of each resource that any of the workers has free.
    fn largest_room(&self, keys: &[WorkerKey]) -> Size {
        let rooms = keys.iter().map(|key| self.workers[*key].room());
        rooms.fold(Size::default(), Size::component_max)
    }

    /// The workers of a pool that take work.
    pub(super) fn candidates(&self, pool: &str) -> Vec<WorkerKey> {
        let workers = self.workers.in_pool(pool);
        let takes = workers.filter(|(_, worker)| worker.takes_work(self.now));
        let keys = takes.map(|(key, _)| key);
        keys.filter(|key| !self.is_taken_alone(*key)).collect()
    }

    /// Starts tasks of a step as far as there is room; whether some are left.
    /// What became ready up to `unknown_until` may run already.
    fn place_step(
        &mut self,
        state: &ControlState,
        id: StepId,
        keys: &[WorkerKey],
        unknown_until: Option<u64>,
    ) -> bool {
        let Some(job) = state.jobs.get(&id.job) else {
            return false;
        };
        let Some(spec) = job.step(id) else {
            return false;
        };
        let step = &self.steps[&id];
        if unknown_until.is_some_and(|until| step.ready_index <= until) {
            return false;
        }
        let pending: Vec<u32> = step.pending.iter().copied().collect();
        if job.queue.advice.is_none() {
            return self.place_tasks(id, job, spec, pending, keys);
        }
        let permitted = self.permitted(id, keys);
        let left = self.place_tasks(id, job, spec, pending, &permitted);
        let pending = self.steps.get(&id).map_or(0, |step| step.pending.len());
        if pending > 0 {
            self.ask_adviser(id, pending, keys);
        }
        left
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
            if !self.may_start(id, 1) {
                return false;
            }
            let Some(key) = self.choose(id, index, spec, keys) else {
                if self.is_suspect_task(id, index) {
                    // It waits for a worker of its own; others fit beside each other.
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

    /// Whether the step's customer may have so many tasks more running.
    fn may_start(&mut self, id: StepId, count: u64) -> bool {
        let Some(step) = self.steps.get(&id) else {
            return false;
        };
        let allowed = self.accounts.allows(step.charge, count);
        if !allowed {
            self.record_cap_reached(id);
        }
        allowed
    }

    /// Starts the tasks of a gang together, under one run number, or none.
    fn place_gang(
        &mut self,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
        pending: &[u32],
        keys: &[WorkerKey],
    ) -> bool {
        if pending.len() < spec.count as usize || !self.may_start(id, pending.len() as u64) {
            return false;
        }
        let mut places = Vec::with_capacity(pending.len());
        let mut keys = keys.to_vec();
        for index in self.suspects_first(id, pending) {
            let Some(key) = self.choose(id, index, spec, &keys) else {
                break;
            };
            if self.is_suspect_task(id, index) {
                keys.retain(|other| *other != key);
            }
            // Reserved for the rest of the search.
            self.workers[key].used += spec.footprint();
            if let Some(step) = self.steps.get_mut(&id) {
                *step.placed.entry(key).or_default() += 1;
            }
            places.push((index, key));
        }
        for (_, key) in &places {
            self.workers[*key].used -= spec.footprint();
            if let Some(step) = self.steps.get_mut(&id) {
                step.take_off(*key);
            }
        }
        if places.len() < pending.len() {
            return true;
        }
        let runs = pending.iter().map(|index| self.next_run(id.task(*index)));
        let run = runs.max().unwrap_or_default();
        for (index, key) in places {
            self.start(id.task(index), job, spec, key, run);
        }
        false
    }

    /// The worker for a task: near its data, and with the least room to spare,
    /// so that large tasks find theirs.
    pub(super) fn choose(
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
            let room = worker.room();
            let far = rack.is_some() && worker.record.rack.as_deref() != rack;
            let failed = step.failed_on.get(&index) == Some(key);
            let left = room.saturating_sub(footprint);
            // What fills wants the processor time that others leave.
            let cpu = if spec.fills {
                u64::MAX - left.cpu_milli
            } else {
                left.cpu_milli
            };
            // Work that lasts gathers on few workers, and other work fills those
            // first, so that the rest fall idle and their machines can go.
            let free_to_go = worker.lasting == 0;
            let apart = self.apart(step, index, worker);
            (failed, far, apart, free_to_go, cpu, left.memory_mb, *key)
        };
        let fits = |key: &&WorkerKey| {
            let worker = &self.workers[**key];
            let label = spec.required_label.as_ref();
            let apart = |most| step.placed.get(*key).is_none_or(|placed| *placed < most);
            footprint.fits(worker.room())
                && self.is_certain(step, index, worker)
                && self.isolates(step, index, **key)
                && label.is_none_or(|label| worker.has_label(label))
                && spec.max_per_worker.is_none_or(apart)
        };
        keys.iter()
            .filter(fits)
            .min_by_key(|key| rank(key))
            .copied()
    }

    /// The rack that a step's tasks should be on, if it matters.
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
        let mut taken = placed.filter(|(_, count)| **count > 0).map(|(key, _)| *key);
        if let Some(key) = taken.next() {
            return self.workers[key].record.rack.as_deref();
        }
        self.roomiest_rack(keys)
    }

    fn roomiest_rack(&self, keys: &[WorkerKey]) -> Option<&str> {
        let mut rooms: IndexMap<&str, u64> = IndexMap::new();
        for key in keys {
            let worker = &self.workers[*key];
            if let Some(rack) = worker.record.rack.as_deref() {
                *rooms.entry(rack).or_default() += worker.room().cpu_milli;
            }
        }
        rooms
            .into_iter()
            .max_by_key(|(_, room)| *room)
            .map(|(rack, _)| rack)
    }

    /// A number above all that the task has had, from this owner or another.
    fn next_run(&self, task: TaskId) -> Run {
        let of_job = self.starts.get(&task.job());
        let started = of_job.and_then(|starts| starts.get(&task)).copied();
        let started = started.unwrap_or_default();
        let base = u64::from(self.owner.ordinal) * RUNS_AN_OWNER;
        Run(base + u64::from(started) + 1)
    }

    fn start(&mut self, task: TaskId, job: &Job, spec: &StepSpec, key: WorkerKey, run: Run) {
        let base = u64::from(self.owner.ordinal) * RUNS_AN_OWNER;
        let count = u32::try_from(run.0 - base).unwrap_or(u32::MAX);
        let footprint = spec.footprint();
        let checkpoint = self.checkpoint(task, job, spec);
        let free = self.workers[key].room();
        let Some(deadline_ms) = self.grant(key) else {
            return;
        };
        let starts = self.starts.entry(task.job()).or_default();
        starts.insert(task, count);
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        step.place(task.index, key);
        let charge = step.charge;
        let suspicion = step.suspicion(task.index);
        let waited_ms = millis(self.now - step.since);
        let attempt = Attempt {
            run,
            worker: key,
            phase: Phase::Starting,
            footprint,
            charge,
            lasts: spec.long_running,
            began: self.now,
            at_work: false,
            suspicion,
            checkpoint: checkpoint.clone(),
        };
        self.add_attempt(task, attempt);
        self.tell_start(task, run, key, free, waited_ms, !checkpoint.is_empty());
        let order = Ordered::Start {
            spec: job.spec.clone(),
            checkpoint,
            deadline_ms,
            ticket: self.ticket(task.step, key),
        };
        self.send_order(key, TaskOrder { task, run, order });
    }

    fn tell_start(
        &mut self,
        task: TaskId,
        run: Run,
        key: WorkerKey,
        free: Size,
        waited_ms: u64,
        resumes: bool,
    ) {
        let worker = self.worker_name(key);
        self.tell(Decision::Start {
            task: task.to_string().into(),
            run: run.0,
            worker,
            free_cpu_milli: free.cpu_milli,
            waited_ms,
            resumes,
        });
    }

    /// Extends the worker's lease; gives its new end on the worker's clock.
    fn grant(&mut self, key: WorkerKey) -> Option<u64> {
        let lease = millis(self.cfg.lease);
        let worker = &mut self.workers[key];
        let until = worker.clock_ms(self.now)? + lease;
        worker.granted_ms = worker.granted_ms.max(until);
        Some(until)
    }

    /// The latest checkpoint of a task, from the replicated state or as this
    /// owner saw it.
    fn checkpoint(&self, task: TaskId, job: &Job, spec: &StepSpec) -> Box<str> {
        let key = if spec.gang { 0 } else { task.index };
        let seen = self
            .steps
            .get(&task.step)
            .and_then(|step| step.checkpoint(key));
        let stored = || {
            job.progress(task.step)
                .and_then(|step| step.checkpoint(key))
        };
        seen.or_else(stored).unwrap_or_default().into()
    }
}

/// Whether the workers of a pool refuse what does not fit. A pool that no
/// configuration names has no work.
fn enforces_capacity(state: &ControlState, pool: &str) -> bool {
    let pools = state.catalogue.as_ref().map(|catalogue| &catalogue.pools);
    let pool = pools.and_then(|pools| pools.get(pool));
    pool.is_none_or(|pool| pool.enforces_capacity)
}
