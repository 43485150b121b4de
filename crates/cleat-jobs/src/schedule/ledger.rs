//! What committed commands mean for the owner.

use std::time::Duration;

use indexmap::IndexSet;

use super::Scheduler;
use super::attempt::Attempt;
use super::decision::{LifeOver, StopReason};
use super::worker::WorkerKey;
use crate::state::{Command, ControlState, EndKind, TaskEnd};
use crate::{JobId, StepId, TaskId};

/// After how many jobs in a row that failed first on a worker it is shunned.
const SHUN_AFTER: u32 = 2;
/// How long a worker is shunned.
const SHUN_FOR: Duration = Duration::from_secs(3);

impl Scheduler {
    /// A worker's use is in the replicated state: tasks may be started there,
    /// unless its life ended meanwhile.
    pub(super) fn worker_recorded(&mut self, name: &str) {
        let Some(key) = self.workers.key(name) else {
            let names = vec![name.into()];
            return self.propose(Command::RemoveWorkers { names });
        };
        let worker = &mut self.workers[key];
        worker.recorded = true;
        worker.recording = false;
        self.unsettle_pool_of(key);
    }

    pub(super) fn workers_removed(&mut self, names: &[Box<str>]) {
        for name in names {
            if let Some(key) = self.workers.key(name) {
                self.life_over(key, LifeOver::Removed);
            }
        }
    }

    /// A worker says that its life ends now.
    pub(super) fn left(&mut self, name: &str) {
        if let Some(key) = self.workers.key(name) {
            self.life_over(key, LifeOver::Left);
        }
    }

    /// A command was not committed as far as is known. It is proposed again, or
    /// what led to it leads to it again.
    pub(super) fn proposal_failed(&mut self, command: &Command) {
        match command {
            // Later ends wait for these, and the worker may be gone. Tasks of a
            // crashed worker wait as well; their runs count once.
            Command::RecordEnds { .. } | Command::Crashed { .. } => self.propose(command.clone()),
            Command::RemoveWorkers { names } => self.remove_again(names),
            Command::AddWorker(record) => {
                if let Some(key) = self.workers.key(&record.name) {
                    self.workers[key].recording = false;
                }
            }
            Command::JobsStopped { ids } => self.settling.retain(|id| !ids.contains(id)),
            Command::Forget { ids } => {
                let ids = ids.iter().rev();
                ids.for_each(|id| self.over.push_front((self.now, *id)));
            }
            _ => {}
        }
    }

    /// Has the records of workers removed that are still known to be gone:
    /// nothing else would lead to it again.
    fn remove_again(&mut self, names: &[Box<str>]) {
        let names = names.iter().filter(|name| self.workers.key(name).is_none());
        let names: Vec<Box<str>> = names.cloned().collect();
        if !names.is_empty() {
            self.propose(Command::RemoveWorkers { names });
        }
    }

    /// Ends that passed the ones before them on their way to the log count
    /// for nothing. This owner's are proposed again: what they wait for is
    /// its own as well, and on its way. An earlier owner's are listed again.
    pub(super) fn ends_applied(&mut self, state: &ControlState, command: &Command) {
        let Command::RecordEnds { worker, ends, .. } = command else {
            return;
        };
        let record = state.workers.get(worker);
        let last = ends.last().map_or(0, |end| end.number);
        if record.is_none_or(|record| record.history.last_recorded_end >= last) {
            return self.ends_noted(state, worker, ends);
        }
        let key = self.workers.key(worker);
        if key.is_none_or(|key| self.workers[key].proposed >= last) {
            self.propose(command.clone());
        }
    }

    /// Ends are in the replicated state, or never will be since their worker
    /// is gone: they may be acknowledged, and what waited for them may go on.
    fn ends_noted(&mut self, state: &ControlState, name: &str, ends: &[TaskEnd]) {
        let key = self.workers.key(name);
        if let (Some(key), Some(last)) = (key, ends.last()) {
            let worker = &mut self.workers[key];
            worker.acked = worker.acked.max(last.number);
            worker.proposed = worker.proposed.max(last.number);
            worker.renewal_due = self.now;
        }
        let mut jobs = IndexSet::new();
        for TaskEnd { end, .. } in ends {
            self.settle(state, key, end);
            jobs.insert(end.task.job());
        }
        for id in jobs {
            self.go_on(state, id);
        }
        self.send_renewals();
    }

    /// Settles the run that ended, if it is the one that is known.
    fn settle(&mut self, state: &ControlState, key: Option<WorkerKey>, end: &crate::End) {
        let job = state.jobs.get(&end.task.job());
        let done = job.is_none_or(|job| job.is_task_done(end.task.step, end.task.index));
        let known = self.attempts.get(&end.task);
        let Some(attempt) = known.filter(|attempt| attempt.run == end.run) else {
            if done {
                self.drop_done(end.task);
            }
            return;
        };
        let (at, checkpoint) = (attempt.worker, attempt.checkpoint.clone());
        self.remove_attempt(end.task);
        if end.kind == EndKind::Failed {
            self.blame(key.unwrap_or(at), end);
        }
        if !done {
            self.requeue(end.task, at, checkpoint);
        } else if let Some(step) = self.steps.get_mut(&end.task.step) {
            step.take_off(at);
        }
    }

    /// A task is done by a run that was taken as lost: its worker came back after
    /// its lease and had ended it before. The task needs no other run.
    fn drop_done(&mut self, task: TaskId) {
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        step.pending.remove(&task.index);
        step.done.insert(task.index);
        if self.attempts.get(&task).is_some_and(Attempt::holds_room) {
            self.stop(task, StopReason::Done);
        }
    }

    /// A task that fails for the first time speaks against its worker; one
    /// that failed elsewhere before speaks against itself.
    fn blame(&mut self, key: WorkerKey, end: &crate::End) {
        let first = match self.steps.get_mut(&end.task.step) {
            Some(step) => step.failed_on.insert(end.task.index, key).is_none(),
            None => false,
        };
        if !first {
            return;
        }
        let worker = &mut self.workers[key];
        worker.failed_jobs += 1;
        if worker.failed_jobs >= SHUN_AFTER {
            worker.shunned_until = self.now + SHUN_FOR;
        }
    }

    /// Goes on with a job after ends of it were noted.
    pub(super) fn go_on(&mut self, state: &ControlState, id: JobId) {
        let Some(job) = state.jobs.get(&id) else {
            return self.job_over(state, id);
        };
        let over = |step: &StepId| step.job == id && job.is_step_done(*step);
        let done: Vec<StepId> = self
            .steps
            .keys()
            .filter(|step| over(step))
            .copied()
            .collect();
        for step in done {
            self.steps.swap_remove(&step);
            self.activate_occurrence(state, id, job, step.occurrence);
        }
    }
}
