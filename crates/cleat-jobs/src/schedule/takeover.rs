//! Takeover: how a new owner learns which runs earlier owners started.
//!
//! Every worker of the replicated state gets a renewal with the new token,
//! after which it rejects orders of the earlier owner. A task of a pool that
//! the earlier owner may have started is not started again until all workers of
//! the pool have answered, or the leases that the earlier owner can have
//! granted have expired.

use super::account::Charge;
use super::attempt::{Attempt, Phase};
use super::event::RunningTask;
use super::log_names::task_name;
use super::loss::SILENT_AFTER;
use super::step::ActiveStep;
use super::worker::{Worker, WorkerKey, WorkerState};
use super::{Decision, Scheduler};
use crate::state::{ControlState, End, Suspicion};
use crate::{Run, Size, TaskId};

/// The log positions up to which steps of a pool that became ready may have been
/// started by an earlier owner without this owner's knowledge; `None` if there
/// are no such steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct HiddenStarts {
    /// For steps whose tasks have one run at a time.
    single: Option<u64>,
    /// For steps whose tasks may have two runs at a time.
    copied: Option<u64>,
}

impl HiddenStarts {
    /// Whether an earlier owner may have started tasks of the step that this owner
    /// does not know of, and that must not be started again.
    pub(super) fn may_include(self, step: &ActiveStep) -> bool {
        let allows_two_runs = step.speculative && step.suspect_tasks().next().is_none();
        let until = if allows_two_runs {
            self.copied
        } else {
            self.single
        };
        until.is_some_and(|until| step.ready_index <= until)
    }
}

impl Scheduler {
    /// Loads the workers and jobs of the replicated state, and asks all workers
    /// for their runs.
    pub(super) fn take_over_state(&mut self, state: &ControlState) {
        for record in state.workers.values() {
            let key = self.workers.add(record.clone(), self.now);
            self.workers[key].draining = state.draining.contains(&record.name);
        }
        self.restore_learned(state);
        for (id, job) in &state.jobs {
            self.activate_job(state, *id);
            if !job.occurrences.is_empty() {
                self.record_job_started(*id);
            }
        }
        let ended = state.ended.keys().map(|id| (self.now, *id));
        self.ended_jobs.extend(ended);
        let stopping = state.stopping.keys().copied();
        let ended_ones = stopping.filter(|id| !state.jobs.contains_key(id));
        self.jobs_to_settle.extend(ended_ones);
        self.send_renewals();
    }

    /// The log position up to which steps that became ready may have been
    /// started by an earlier owner without this owner's knowledge; `None` once
    /// all runs in the pool are known.
    ///
    /// A worker that fell silent before the takeover was assigned no step that
    /// became ready after it was recorded as silent, so only earlier steps may
    /// run there. Without this limit, a rack that had crashed a second before a
    /// takeover delayed all tasks of its pool for 4 s: in three of five
    /// simulations of one day, 177 to 278 tasks waited although there was free
    /// capacity for all of them.
    pub(super) fn unknown_until(&self, pool: &str) -> Option<u64> {
        self.unknown_until_on(pool, |_| true)
    }

    /// As [`Self::unknown_until`], for steps whose tasks may have two runs at a
    /// time. They wait only for workers that may answer soon, and not for
    /// leases to expire. Otherwise every takeover would copy all tasks of the
    /// workers that answer last.
    pub(super) fn unknown_until_for_copies(&self, pool: &str) -> Option<u64> {
        if !self.speculates() {
            return self.unknown_until(pool);
        }
        let may_have_answered = self.now > self.taken_over_at + SILENT_AFTER;
        self.unknown_until_on(pool, |worker| {
            let is_unseen = worker.state == WorkerState::Unseen;
            worker.unanswered_since.is_none() && !(is_unseen && may_have_answered)
        })
    }

    /// As [`Self::unknown_until`], with only those workers with unknown runs that
    /// are `awaited`.
    fn unknown_until_on(&self, pool: &str, awaited: impl Fn(&Worker) -> bool) -> Option<u64> {
        if !self.cfg.protections.await_inherited_runs {
            return None;
        }
        let workers = self.workers.in_pool(pool);
        let unknown = workers.filter(|(_, worker)| !worker.runs_are_known() && awaited(worker));
        let until = unknown.map(|(_, worker)| worker.record.history.silent_index);
        let latest = until
            .map(|silent_index| silent_index.unwrap_or(u64::MAX))
            .max();
        latest.map(|until| until.min(self.owner.token))
    }

    /// The starts of earlier owners in a pool that this owner may not know of.
    pub(super) fn hidden_starts(&self, pool: &str) -> HiddenStarts {
        HiddenStarts {
            single: self.unknown_until(pool),
            copied: self.unknown_until_for_copies(pool),
        }
    }

    /// Prevents a task from being started while the end of a run that an
    /// earlier owner started is being committed: that run may have completed
    /// the task.
    pub(super) fn await_inherited_end(&mut self, key: WorkerKey, end: &End) {
        let Some(step) = self.steps.get_mut(&end.task.step) else {
            return;
        };
        let enabled = self.cfg.protections.await_inherited_ends;
        if !enabled || !step.pending.contains(&end.task.index) {
            return;
        }
        step.assign(end.task.index, key);
        self.record_job_started(end.task.job());
        let attempt = Attempt {
            run: end.run,
            worker: key,
            phase: Phase::Ended,
            footprint: Size::default(),
            charge: Charge::default(),
            long_running: false,
            started_at: self.now,
            at_full_speed: false,
            suspicion: Suspicion::default(),
            checkpoint: end.checkpoint.clone(),
        };
        self.add_attempt(end.task, attempt);
    }

    /// Drops a run whose end is being committed if a later run of its task is
    /// listed: the earlier owner started that run afterwards, so the end of the
    /// earlier run has no effect on the task. Otherwise, after a worker came
    /// back with an expired lease, the runs that replaced its own would count
    /// as strays.
    pub(super) fn drop_superseded(&mut self, task: TaskId, run: Run) {
        let known = self.attempts.get(&task);
        let superseded = known.is_some_and(|known| known.phase == Phase::Ended && known.run < run);
        if superseded && let Some(attempt) = self.remove_attempt(task) {
            self.requeue(task, attempt.worker, attempt.checkpoint);
        }
    }

    /// Adopts a run that a worker lists, if its task waits for a start. Returns
    /// whether it did.
    pub(super) fn adopt_run(
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
        step.assign(task.index, key);
        let charge = step.charge;
        let suspicion = step.suspicion(task.index);
        let footprint = spec.footprint();
        let attempt = Attempt {
            run: listed.run,
            worker: key,
            phase: Phase::Running { known_at: self.now },
            footprint,
            charge,
            long_running: spec.long_running,
            started_at: self.now,
            at_full_speed: listed.percent >= 100,
            suspicion,
            checkpoint: listed.checkpoint.clone(),
        };
        self.record_job_started(task.job());
        self.add_attempt(task, attempt);
        let worker = self.worker_name(key);
        self.log(Decision::Adopted {
            task: task_name(task),
            run: listed.run.0,
            worker,
        });
        true
    }
}
