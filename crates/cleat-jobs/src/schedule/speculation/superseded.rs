//! Superseded runs, from the start of a copy until they are settled.

use std::time::Duration;

use crate::collections::IndexMap;
use crate::schedule::account::Charge;
use crate::schedule::attempt::{Attempt, Phase};
use crate::schedule::decision::{LossReason, StopReason};
use crate::schedule::event::RunningTask;
use crate::schedule::listed_runs::ListedRuns;
use crate::schedule::log_names::task_name;
use crate::schedule::orders::STOP_RETRY_DELAY;
use crate::schedule::worker::WorkerKey;
use crate::schedule::{Decision, Scheduler};
use crate::state::{ControlState, CrashEvidence, CrashedRun, End, EndKind, Suspicion};
use crate::{JobId, Run, Size, TaskId};

/// The earlier run of a task that was copied.
#[derive(Clone, Debug)]
struct Superseded {
    /// Its phase is `Running`, `Stopping` or `Ended`. In the last one, its end
    /// or its crash is being committed.
    attempt: Attempt,
    /// Whether the outcome of the copy was logged.
    outcome_logged: bool,
}

/// The superseded runs, at most one for each task.
#[derive(Debug, Default)]
pub(crate) struct SupersededRuns(IndexMap<TaskId, Superseded>);

impl SupersededRuns {
    pub(crate) fn contains(&self, task: TaskId) -> bool {
        self.0.contains_key(&task)
    }

    pub(crate) fn get(&self, task: TaskId) -> Option<&Attempt> {
        self.0.get(&task).map(|superseded| &superseded.attempt)
    }

    fn get_mut(&mut self, task: TaskId) -> Option<&mut Attempt> {
        let superseded = self.0.get_mut(&task);
        superseded.map(|superseded| &mut superseded.attempt)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (TaskId, &Attempt)> {
        let all = self.0.iter();
        all.map(|(task, superseded)| (*task, &superseded.attempt))
    }

    /// The superseded runs of a worker.
    pub(crate) fn on(&self, key: WorkerKey) -> impl Iterator<Item = (TaskId, &Attempt)> {
        self.iter().filter(move |(_, run)| run.worker == key)
    }

    /// The superseded runs of a job.
    pub(crate) fn of_job(&self, id: JobId) -> impl Iterator<Item = (TaskId, &Attempt)> {
        self.iter().filter(move |(task, _)| task.job() == id)
    }
}

impl Scheduler {
    /// Makes the run of a task a superseded run, and queues the task again.
    pub(super) fn supersede(&mut self, task: TaskId) {
        let Some(attempt) = self.take_attempt(task) else {
            return;
        };
        let checkpoint = attempt.checkpoint.clone();
        self.insert_superseded(task, attempt);
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.pending.insert(task.index);
            step.store_checkpoint(task.index, checkpoint);
            self.mark_step_ready(task.step);
        }
    }

    /// Makes the superseded run of a task that was not copied after all the
    /// task's run again.
    pub(super) fn withdraw_copy(&mut self, task: TaskId) {
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.pending.remove(&task.index);
        }
        self.restore_superseded(task);
    }

    /// Makes the superseded run of a task whose copy failed or was lost the
    /// task's run again. Returns whether there is one.
    pub(in crate::schedule) fn resume_superseded(&mut self, task: TaskId) -> bool {
        self.log_copy_outcome(task, false);
        self.restore_superseded(task)
    }

    fn restore_superseded(&mut self, task: TaskId) -> bool {
        let Some(attempt) = self.take_superseded(task) else {
            return false;
        };
        self.insert_attempt(task, attempt);
        true
    }

    fn insert_superseded(&mut self, task: TaskId, attempt: Attempt) {
        let worker = &mut self.workers[attempt.worker];
        worker.superseded_runs += 1;
        worker.task_crashes += attempt.suspicion.crashes;
        let superseded = Superseded {
            attempt,
            outcome_logged: false,
        };
        self.superseded.0.insert(task, superseded);
    }

    /// Removes a superseded run from the table without freeing its capacity.
    fn take_superseded(&mut self, task: TaskId) -> Option<Attempt> {
        let Superseded { attempt, .. } = self.superseded.0.swap_remove(&task)?;
        let worker = &mut self.workers[attempt.worker];
        worker.superseded_runs -= 1;
        worker.task_crashes -= attempt.suspicion.crashes;
        Some(attempt)
    }

    /// Removes a superseded run and frees its capacity.
    fn remove_superseded(&mut self, task: TaskId) -> Option<Attempt> {
        self.end_superseded(task);
        let attempt = self.take_superseded(task)?;
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.unassign(attempt.worker);
            self.unpark_step(task.step);
        }
        Some(attempt)
    }

    /// Marks a superseded run as ended and frees its capacity.
    pub(in crate::schedule) fn end_superseded(&mut self, task: TaskId) {
        let Some(attempt) = self.superseded.get_mut(task) else {
            return;
        };
        if !attempt.uses_capacity() {
            return;
        }
        attempt.phase = Phase::Ended;
        let (key, footprint, charge) = (attempt.worker, attempt.footprint, attempt.charge);
        self.workers[key].used -= footprint;
        self.release_charge(charge);
        self.request_scheduling_for_worker(key);
    }

    /// Whether a run is the superseded run of its task on the worker.
    pub(in crate::schedule) fn is_superseded(
        &self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
    ) -> bool {
        let known = self.superseded.get(task);
        known.is_some_and(|known| known.worker == key && known.run == run)
    }

    /// Stops the superseded run of a task. Its capacity stays reserved until
    /// its worker lists the end.
    pub(in crate::schedule) fn stop_superseded(&mut self, task: TaskId, reason: StopReason) {
        let now = self.now;
        let Some(attempt) = self.superseded.get_mut(task) else {
            return;
        };
        if !attempt.uses_capacity() {
            return;
        }
        attempt.phase = Phase::Stopping { stop_sent: now };
        let (key, run) = (attempt.worker, attempt.run);
        if reason == StopReason::Done {
            self.observe_superseded_stop(task, run);
        }
        self.send_stop(key, task, run, reason);
    }

    /// Stops the superseded runs of a job.
    pub(in crate::schedule) fn stop_superseded_of_job(&mut self, id: JobId) {
        let runs = self.superseded.of_job(id);
        let running = runs.filter(|(_, run)| matches!(run.phase, Phase::Running { .. }));
        let tasks: Vec<TaskId> = running.map(|(task, _)| task).collect();
        for task in tasks {
            self.stop_superseded(task, StopReason::JobOver);
        }
    }

    /// Sends stops of superseded runs again that have had no effect.
    pub(in crate::schedule) fn resend_superseded_stops(&mut self) {
        let due = |(task, run): (TaskId, &Attempt)| match run.phase {
            Phase::Stopping { stop_sent } if self.now >= stop_sent + STOP_RETRY_DELAY => Some(task),
            _ => None,
        };
        let tasks: Vec<TaskId> = self.superseded.iter().filter_map(due).collect();
        for task in tasks {
            let is_job_over = !self.active_jobs.contains(&task.job());
            let reason = if is_job_over {
                StopReason::JobOver
            } else {
                StopReason::Done
            };
            self.stop_superseded(task, reason);
        }
    }

    /// Handles the listed end of a superseded run. Returns whether it is one.
    pub(in crate::schedule) fn handle_superseded_end(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        end: &End,
    ) -> bool {
        if !self.is_superseded(key, end.task, end.run) {
            return false;
        }
        let Some(attempt) = self.superseded.get_mut(end.task) else {
            return false;
        };
        if !attempt.uses_capacity() {
            return true;
        }
        if !end.checkpoint.is_empty() {
            attempt.checkpoint = end.checkpoint.clone();
        }
        let started_at = attempt.started_at;
        self.end_superseded(end.task);
        self.record_listed_end(state, key, end, started_at);
        if end.kind != EndKind::Stopped {
            self.log_copy_outcome(end.task, end.kind != EndKind::Done);
        }
        true
    }

    /// Removes a superseded run whose end was committed. Returns its worker if
    /// the run was one.
    pub(in crate::schedule) fn settle_superseded_end(&mut self, end: &End) -> Option<WorkerKey> {
        let known = self.superseded.get(end.task);
        known.filter(|known| known.run == end.run)?;
        let attempt = self.remove_superseded(end.task)?;
        Some(attempt.worker)
    }

    /// Updates the checkpoint of a superseded run that its worker lists. Returns
    /// whether the listed run is a superseded one.
    pub(in crate::schedule) fn reconcile_superseded(
        &mut self,
        key: WorkerKey,
        listed: &RunningTask,
    ) -> bool {
        if !self.is_superseded(key, listed.task, listed.run) {
            return false;
        }
        if let Some(attempt) = self.superseded.get_mut(listed.task)
            && !listed.checkpoint.is_empty()
        {
            attempt.checkpoint = listed.checkpoint.clone();
        }
        true
    }

    /// Adopts a listed run as the superseded run of a task that has another run,
    /// as after a takeover from an owner that copied the task. Returns whether
    /// it did.
    pub(in crate::schedule) fn adopt_superseded(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        listed: &RunningTask,
    ) -> bool {
        let task = listed.task;
        if !self.speculates() || self.strays.contains_key(&(key, task, listed.run)) {
            return false;
        }
        let Some(job) = state.jobs.get(&task.job()) else {
            return false;
        };
        let Some(spec) = job.step(task.step) else {
            return false;
        };
        let other = self.attempts.get(&task);
        let is_second = other.is_some_and(|other| other.worker != key)
            && !self.superseded.contains(task)
            && !job.is_task_done(task.step, task.index);
        let Some(step) = self.steps.get_mut(&task.step) else {
            return false;
        };
        if !step.speculative || !is_second || step.done.contains(&task.index) {
            return false;
        }
        *step.placed.entry(key).or_default() += 1;
        let attempt = Attempt {
            run: listed.run,
            worker: key,
            phase: Phase::Running { known_at: self.now },
            footprint: spec.footprint(),
            charge: step.charge,
            long_running: false,
            started_at: self.now,
            at_full_speed: listed.percent >= 100,
            suspicion: step.suspicion(task.index),
            checkpoint: listed.checkpoint.clone(),
        };
        self.accounts.add(attempt.charge);
        self.workers[key].used += attempt.footprint;
        self.insert_superseded(task, attempt);
        let worker = self.worker_name(key);
        self.log(Decision::Adopted {
            task: task_name(task),
            run: listed.run.0,
            worker,
        });
        true
    }

    /// Prevents a copy of a task while the end of another run, which this owner
    /// did not know of, is being committed: that run may have completed the task.
    pub(in crate::schedule) fn await_second_end(&mut self, key: WorkerKey, end: &End) {
        let Some(step) = self.steps.get_mut(&end.task.step) else {
            return;
        };
        if !step.speculative || self.superseded.contains(end.task) {
            return;
        }
        *step.placed.entry(key).or_default() += 1;
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
        self.insert_superseded(end.task, attempt);
    }

    /// Removes the superseded runs of a worker that are missing in a list that
    /// was requested after they were known to run or were ordered to stop.
    pub(in crate::schedule) fn mark_superseded_vanished(
        &mut self,
        key: WorkerKey,
        requested_at: Duration,
        listed: &ListedRuns,
    ) {
        let missing = |(task, run): &(TaskId, &Attempt)| {
            let due = match run.phase {
                Phase::Running { known_at: since } | Phase::Stopping { stop_sent: since } => {
                    since < requested_at
                }
                _ => false,
            };
            due && !listed.contains(*task, run.run)
        };
        let vanished = self.superseded.on(key).filter(missing);
        let vanished: Vec<TaskId> = vanished.map(|(task, _)| task).collect();
        for task in vanished {
            self.lose_superseded(task, LossReason::Vanished);
        }
    }

    /// Removes the superseded runs of a worker that are lost with it: those whose end it
    /// has not listed.
    pub(in crate::schedule) fn lose_all_superseded(&mut self, key: WorkerKey, reason: LossReason) {
        let worker = &self.workers[key];
        let active = self.superseded.on(key);
        let active = active
            .filter(|(task, run)| run.uses_capacity() && !worker.holds_end_of(*task, run.run));
        let lost: Vec<TaskId> = active.map(|(task, _)| task).collect();
        for task in lost {
            self.lose_superseded(task, reason);
        }
    }

    fn lose_superseded(&mut self, task: TaskId, reason: LossReason) {
        self.log_superseded_lost(task, reason, None);
        self.remove_superseded(task);
    }

    /// Marks a superseded run as ended whose crash is being committed.
    pub(in crate::schedule) fn crash_superseded(
        &mut self,
        crashed: &CrashedRun,
        reason: LossReason,
    ) {
        self.log_superseded_lost(crashed.task, reason, Some(crashed.evidence));
        self.end_superseded(crashed.task);
    }

    /// Removes a superseded run whose crash was committed.
    pub(in crate::schedule) fn settle_superseded_crash(&mut self, task: TaskId, run: Run) {
        let known = self.superseded.get(task);
        if known.is_some_and(|known| known.run == run && !known.uses_capacity()) {
            self.remove_superseded(task);
        }
    }

    fn log_superseded_lost(
        &mut self,
        task: TaskId,
        reason: LossReason,
        evidence: Option<CrashEvidence>,
    ) {
        let Some(attempt) = self.superseded.get(task) else {
            return;
        };
        let is_stopping = matches!(attempt.phase, Phase::Stopping { .. });
        let decision = Decision::Lost {
            task: task_name(task),
            run: attempt.run.0,
            worker: self.worker_name(attempt.worker),
            reason,
            crashes: attempt.suspicion.crashes,
            evidence,
        };
        self.log(decision);
        if !is_stopping {
            self.log_copy_outcome(task, true);
        }
    }

    /// Logs whether the copy of a task was of use, once for each copy: it was
    /// if it completed the task or took the place of a run that failed or was
    /// lost.
    pub(in crate::schedule) fn log_copy_outcome(&mut self, task: TaskId, won: bool) {
        let Some(superseded) = self.superseded.0.get_mut(&task) else {
            return;
        };
        if !std::mem::replace(&mut superseded.outcome_logged, true) {
            let task = task_name(task);
            self.log(Decision::CopyEnded { task, won });
        }
    }
}
