//! How a new owner learns what an earlier one had started.
//!
//! Every worker of the replicated state is asked with the new token, which
//! shuts the earlier owner out. Until all workers of a pool have answered, or
//! the leases that the earlier owner can have granted are over, no task is
//! started there that the earlier owner may have started.

use super::account::Charge;
use super::attempt::{Attempt, Phase};
use super::event::RunningTask;
use super::worker::WorkerKey;
use super::{Decision, Scheduler};
use crate::state::{ControlState, End, Suspicion};
use crate::{Run, Size, TaskId};

impl Scheduler {
    pub(super) fn inherit(&mut self, state: &ControlState) {
        for record in state.workers.values() {
            let key = self.workers.add(record.clone(), self.now);
            self.workers[key].draining = state.draining.contains(&record.name);
        }
        for (id, job) in &state.jobs {
            self.activate_job(state, *id);
            if !job.occurrences.is_empty() {
                self.note_begun(*id);
            }
        }
        let over = state.ended.keys().map(|id| (self.now, *id));
        self.over.extend(over);
        self.send_renewals();
    }

    /// The position in the log up to which what became ready may run in the pool
    /// without this owner's knowledge, as an earlier one started it; none once
    /// all is known.
    ///
    /// A worker that fell silent before the takeover was given nothing that
    /// became ready later. Without that, a rack that crashed a second before
    /// held up all tasks of its pool for 4 s (177 to 278 waited beside room for
    /// as many, in three of five plays of one day).
    pub(super) fn unknown_until(&self, pool: &str) -> Option<u64> {
        if !self.cfg.protections.await_inherited_runs {
            return None;
        }
        let workers = self.workers.in_pool(pool);
        let unknown = workers.filter(|(_, worker)| !worker.is_known());
        let until = unknown.map(|(_, worker)| worker.record.history.silent_index);
        let latest = until
            .map(|silent_index| silent_index.unwrap_or(u64::MAX))
            .max();
        latest.map(|until| until.min(self.owner.token))
    }

    /// Keeps a task from being started while the end of a run that an earlier
    /// owner started is being committed: the task may be done by it.
    pub(super) fn await_inherited_end(&mut self, key: WorkerKey, end: &End) {
        let Some(step) = self.steps.get_mut(&end.task.step) else {
            return;
        };
        let waits = self.cfg.protections.await_inherited_ends;
        if !waits || !step.pending.contains(&end.task.index) {
            return;
        }
        step.place(end.task.index, key);
        self.note_begun(end.task.job());
        let attempt = Attempt {
            run: end.run,
            worker: key,
            phase: Phase::Ended,
            footprint: Size::default(),
            charge: Charge::default(),
            lasts: false,
            began: self.now,
            at_work: false,
            suspicion: Suspicion::default(),
            checkpoint: end.checkpoint.clone(),
        };
        self.add_attempt(end.task, attempt);
    }

    /// Lets go of a run whose end is being committed if a later run of its task
    /// is listed: the earlier owner started it since, so the earlier end decides
    /// nothing. Without it a worker that comes back after its lease would make
    /// the sound runs that replaced its own look like strays.
    pub(super) fn supersede(&mut self, task: TaskId, run: Run) {
        let known = self.attempts.get(&task);
        let earlier = known.is_some_and(|known| known.phase == Phase::Ended && known.run < run);
        if earlier && let Some(attempt) = self.remove_attempt(task) {
            self.requeue(task, attempt.worker, attempt.checkpoint);
        }
    }

    /// Takes over a run that a worker lists, if its task waits for a start.
    /// Says whether it did.
    pub(super) fn adopt(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        listed: &RunningTask,
    ) -> bool {
        let task = listed.task;
        let Some(job) = state.jobs.get(&task.job()) else {
            return false;
        };
        let known = self.attempts.contains_key(&task) || job.is_task_done(task.step, task.index);
        let Some(spec) = job.step(task.step).filter(|_| !known) else {
            return false;
        };
        let Some(step) = self.steps.get_mut(&task.step) else {
            return false;
        };
        step.place(task.index, key);
        let charge = step.charge;
        let suspicion = step.suspicion(task.index);
        let footprint = spec.footprint();
        let attempt = Attempt {
            run: listed.run,
            worker: key,
            phase: Phase::Running { known_at: self.now },
            footprint,
            charge,
            lasts: spec.long_running,
            began: self.now,
            at_work: listed.percent >= 100,
            suspicion,
            checkpoint: listed.checkpoint.clone(),
        };
        self.note_begun(task.job());
        self.add_attempt(task, attempt);
        let worker = self.worker_name(key);
        self.tell(Decision::Adopted {
            task: task.to_string().into(),
            run: listed.run.0,
            worker,
        });
        true
    }
}
