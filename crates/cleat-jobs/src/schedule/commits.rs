//! The owner's reaction to committed commands, and to proposals that failed.

use std::time::Duration;

use super::Scheduler;
use super::attempt::Attempt;
use super::decision::{LifeOver, StopReason};
use super::worker::{WorkerKey, WorkerState};
use crate::collections::IndexSet;
use crate::state::{Command, ControlState, End, EndKind, TaskEnd};
use crate::{JobId, StepId, TaskId};

/// After this many consecutive tasks that failed for the first time on a
/// worker, starts there are paused.
const FAILURES_BEFORE_PAUSE: u32 = 2;
/// How long starts on a worker are paused after such failures.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Handles the commit of the record that a worker is in use: tasks may be
    /// started there, unless its life ended meanwhile. The state may have contained the
    /// record when the worker's silence was proposed, which then applies to it.
    pub(super) fn handle_worker_recorded(&mut self, state: &ControlState, name: &str) {
        let Some(key) = self.workers.key(name) else {
            let names = vec![name.into()];
            return self.propose(Command::RemoveWorkers { names });
        };
        let worker = &mut self.workers[key];
        let record = state.workers.get(&worker.record.name);
        worker.use_recorded =
            record.is_some_and(|record| record.history.activations > worker.ended_activation);
        worker.use_proposed = false;
        self.remove_earlier_records(key);
        self.request_scheduling_for_worker(key);
    }

    /// Handles the removal of workers' records. A worker that is known was added again since
    /// the removal was proposed.
    pub(super) fn handle_workers_removed(&mut self, names: &[Box<str>]) {
        for name in names {
            let Some(key) = self.workers.key(name) else {
                continue;
            };
            match self.workers[key].state {
                WorkerState::Lapsed | WorkerState::Gone => self.end_life(key, LifeOver::Removed),
                _ => self.restore_record(key),
            }
        }
    }

    /// Proposes the record of a worker that may have runs and has no record any more: the
    /// next owner has to wait for it. Nothing is started there until that is committed.
    fn restore_record(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        worker.use_recorded = false;
        // The new record contains no ends.
        worker.last_proposed_end = 0;
        worker.last_committed_end = 0;
        if worker.use_proposed {
            return;
        }
        worker.use_proposed = true;
        let record = worker.record.clone();
        self.propose(Command::AddWorker(record));
    }

    /// Handles a command that was not committed, as far as is known. It is
    /// proposed again, unless the condition that led to it leads to it again.
    pub(super) fn handle_proposal_failed(&mut self, command: &Command) {
        match command {
            // Later ends of the worker can't be committed before these, and the
            // worker may be gone and not list them again. Tasks of a crashed
            // worker wait for the commit of the crash. Proposing a crash twice
            // is harmless: each run is counted once.
            Command::RecordEnds { .. } | Command::Crashed { .. } => self.propose(command.clone()),
            Command::RemoveWorkers { names } => self.repropose_removal(names),
            Command::AddWorker(record) => {
                if let Some(key) = self.workers.key(&record.name) {
                    self.workers[key].use_proposed = false;
                }
            }
            Command::JobsStopped { ids } => self.jobs_to_settle.extend(ids),
            Command::Forget { ids } => {
                let ids = ids.iter().rev();
                ids.for_each(|id| self.ended_jobs.push_front((self.now, *id)));
            }
            _ => {}
        }
    }

    /// Proposes the removal of workers again that are still gone. Nothing else
    /// would propose it again.
    fn repropose_removal(&mut self, names: &[Box<str>]) {
        let names = names.iter().filter(|name| self.workers.key(name).is_none());
        let names: Vec<Box<str>> = names.cloned().collect();
        if !names.is_empty() {
            self.propose(Command::RemoveWorkers { names });
        }
    }

    /// Handles applied ends. Ends that were applied before earlier ends of the
    /// same worker have no effect. If this owner proposed them, it proposes
    /// them again: the earlier ends are its own proposals as well, and still in
    /// progress. If an earlier owner did, the worker lists them again.
    pub(super) fn handle_ends_applied(&mut self, state: &ControlState, command: &Command) {
        let Command::RecordEnds { worker, ends, .. } = command else {
            return;
        };
        let last = ends.last().map_or(0, |end| end.number);
        let Some(record) = state.workers.get(worker) else {
            return self.handle_unrecorded_ends(state, worker, ends);
        };
        if record.history.last_recorded_end >= last {
            return self.handle_committed_ends(state, worker, ends);
        }
        let key = self.workers.key(worker);
        if key.is_none_or(|key| self.workers[key].last_proposed_end >= last) {
            self.propose(command.clone());
        }
    }

    /// Handles ends that are in the replicated state. They may be acknowledged, and
    /// tasks that waited for them may start.
    fn handle_committed_ends(&mut self, state: &ControlState, name: &str, ends: &[TaskEnd]) {
        let key = self.workers.key(name);
        if let (Some(key), Some(last)) = (key, ends.last()) {
            let worker = &mut self.workers[key];
            worker.last_committed_end = worker.last_committed_end.max(last.number);
            worker.last_proposed_end = worker.last_proposed_end.max(last.number);
            self.workers.advance_renewal(key, self.now);
        }
        self.settle_ends(state, key, ends.iter().map(|listed| &listed.end));
        self.send_renewals();
    }

    /// Handles ends that were applied while their worker had no record, so they may not be
    /// recorded. They are not acknowledged. If the worker is known again, it lists them
    /// again, and a task that one of them completes waits for that.
    fn handle_unrecorded_ends(&mut self, state: &ControlState, name: &str, ends: &[TaskEnd]) {
        let key = self.workers.key(name);
        let completes = |end: &End| {
            let job = state.jobs.get(&end.task.job());
            let is_done = job.is_none_or(|job| job.is_task_done(end.task.step, end.task.index));
            end.kind == EndKind::Done && !is_done
        };
        let (kept, over): (Vec<TaskEnd>, Vec<TaskEnd>) = ends
            .iter()
            .cloned()
            .partition(|listed| key.is_some() && completes(&listed.end));
        if let Some(key) = key {
            self.add_unrecorded_ends(key, &kept);
        }
        self.settle_ends(state, key, over.iter().map(|listed| &listed.end));
    }

    /// Releases the tasks whose ends are not awaited any more.
    pub(super) fn settle_abandoned_ends(&mut self, state: &ControlState) {
        let ends = std::mem::take(&mut self.abandoned_ends);
        self.settle_ends(state, None, &ends);
    }

    /// Settles ends, and advances their jobs.
    fn settle_ends<'a>(
        &mut self,
        state: &ControlState,
        key: Option<WorkerKey>,
        ends: impl IntoIterator<Item = &'a End>,
    ) {
        let mut jobs = IndexSet::default();
        for end in ends {
            self.settle_end(state, key, end);
            jobs.insert(end.task.job());
        }
        for id in jobs {
            self.advance_job(state, id);
        }
    }

    /// Removes the run that ended, if it is the one that this owner knows, and
    /// queues its task again if that is not done.
    fn settle_end(&mut self, state: &ControlState, key: Option<WorkerKey>, end: &End) {
        self.awaited_ends.remove(end);
        let job = state.jobs.get(&end.task.job());
        let done = job.is_none_or(|job| job.is_task_done(end.task.step, end.task.index));
        if let Some(worker) = self.settle_superseded_end(end)
            && end.kind == EndKind::Failed
        {
            self.record_failure(key.unwrap_or(worker), end);
        }
        if done {
            self.stop_superseded(end.task, StopReason::Done);
        }
        let known = self.attempts.get(&end.task);
        let Some(attempt) = known.filter(|attempt| attempt.run == end.run) else {
            if done {
                self.drop_completed_task(end.task);
            } else {
                self.queue_unless_running(end.task);
            }
            return;
        };
        let (worker, checkpoint) = (attempt.worker, attempt.checkpoint.clone());
        self.remove_attempt(end.task);
        if end.kind == EndKind::Failed {
            self.record_failure(key.unwrap_or(worker), end);
        }
        if !done {
            self.requeue(end.task, worker, checkpoint);
        } else if let Some(step) = self.steps.get_mut(&end.task.step) {
            step.unassign(worker);
            self.unpark_step(end.task.step);
        }
    }

    /// Handles a task that was completed by a run that had counted as lost: its
    /// worker had finished it and became reachable again after its lease. The
    /// task needs no other run.
    fn drop_completed_task(&mut self, task: TaskId) {
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        step.pending.remove(&task.index);
        step.done.insert(task.index);
        if self.attempts.get(&task).is_some_and(Attempt::uses_capacity) {
            self.stop(task, StopReason::Done);
        }
    }

    /// Counts a failure against the worker if the task failed for the first
    /// time. A task that failed elsewhere before is itself the likely cause.
    fn record_failure(&mut self, key: WorkerKey, end: &End) {
        let first = match self.steps.get_mut(&end.task.step) {
            Some(step) => step.failed_on.insert(end.task.index, key).is_none(),
            None => false,
        };
        if !first {
            return;
        }
        let worker = &mut self.workers[key];
        worker.failure_streak += 1;
        if worker.failure_streak >= FAILURES_BEFORE_PAUSE {
            worker.starts_paused_until = self.now + FAILURE_PAUSE;
        }
    }

    /// Activates the steps of a job that became ready after ends of it were
    /// committed.
    pub(super) fn advance_job(&mut self, state: &ControlState, id: JobId) {
        let Some(job) = state.jobs.get(&id) else {
            return self.remove_ended_job(state, id);
        };
        let Some(steps) = self.job_steps.get_mut(&id) else {
            return;
        };
        let is_done = |step: &mut StepId| job.is_step_done(*step);
        let done: Vec<StepId> = steps.extract_if(.., is_done).collect();
        for step in done {
            self.steps.swap_remove(&step);
            self.activate_occurrence(state, id, job, step.occurrence);
        }
    }
}
