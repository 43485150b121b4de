//! Starts of tasks on the workers that were chosen for them.

use super::attempt::{Attempt, Phase};
use super::event::{Order, TaskOrder};
use super::log_names::task_name;
use super::worker::{WorkerKey, millis};
use super::{Decision, Scheduler};
use crate::state::Job;
use crate::{Run, Size, StepSpec, TaskId};

/// The number of run numbers that each owner can assign to a task. An owner
/// that restarts a task each second for a day uses fewer.
pub(super) const RUN_NUMBERS_PER_OWNER: u64 = 1 << 20;

impl Scheduler {
    /// A run number that is higher than all that this owner or an earlier one
    /// assigned to the task.
    pub(super) fn next_run(&self, task: TaskId) -> Run {
        let of_job = self.start_counts.get(&task.job());
        let started = of_job.and_then(|starts| starts.get(&task)).copied();
        let started = started.unwrap_or_default();
        let base = u64::from(self.owner.ordinal) * RUN_NUMBERS_PER_OWNER;
        Run(base + u64::from(started) + 1)
    }

    /// Starts a run of a task on a worker: reserves its capacity and sends the
    /// order. Does nothing if the worker's clock is not known.
    pub(super) fn start(
        &mut self,
        task: TaskId,
        job: &Job,
        spec: &StepSpec,
        key: WorkerKey,
        run: Run,
    ) {
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
        let resumes = !checkpoint.is_empty();
        self.observe_start(task, run, key, job, spec, resumes);
        self.log_start(task, run, key, free, waited_ms, resumes);
        let order = Order::Start {
            spec: job.spec.clone(),
            checkpoint,
            deadline_ms,
            ticket: self.ticket(task.step, key),
        };
        self.record_start_sent();
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
            task: task_name(task),
            run: run.0,
            worker,
            free_cpu_milli: free.cpu_milli,
            waited_ms,
            resumes,
        });
    }

    /// Extends the worker's lease and returns its new end on the worker's clock
    /// in milliseconds; `None` if that clock is not known.
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
