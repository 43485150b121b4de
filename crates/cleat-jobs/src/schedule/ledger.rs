//! What committed commands mean for the owner.

use indexmap::IndexSet;

use super::worker::WorkerKey;
use super::{Scheduler, worker};
use crate::state::{Command, ControlState, EndKind, TaskEnd, WorkerRecord};
use crate::{JobId, StepId};

/// After how many jobs in a row that failed first on a worker it is shunned.
const SHUN_AFTER: u32 = 2;
/// How long a worker is shunned.
const SHUN_FOR: std::time::Duration = std::time::Duration::from_secs(3);

impl Scheduler {
    pub(super) fn worker_added(&mut self, record: &WorkerRecord) {
        let beat = self.announced.swap_remove(&record.name);
        if self.workers.key(&record.name).is_some() {
            return;
        }
        let key = self.workers.add(record.clone(), self.now);
        let worker = &mut self.workers[key];
        // No earlier owner knew it, so nothing can run there.
        worker.state = worker::WorkerState::Silent;
        worker.listed_whole = true;
        if let Some(beat) = beat {
            worker.draining = beat.draining;
            worker.last_sequence = beat.sequence;
        }
        self.send_renewals();
    }

    pub(super) fn workers_removed(&mut self, names: &[Box<str>]) {
        for name in names {
            if let Some(key) = self.workers.key(name) {
                self.life_over(key);
            }
            self.announced.swap_remove(name);
        }
    }

    /// A worker says that its life ends now.
    pub(super) fn left(&mut self, name: &str) {
        self.announced.swap_remove(name);
        if let Some(key) = self.workers.key(name) {
            self.life_over(key);
        }
    }

    /// A command was not committed as far as is known: what led to it will
    /// lead to it again.
    pub(super) fn proposal_failed(&mut self, command: &Command) {
        match command {
            Command::Ends { worker, .. } => {
                if let Some(key) = self.workers.key(worker) {
                    let worker = &mut self.workers[key];
                    worker.proposed = worker.acked;
                }
            }
            Command::AddWorker(record) => drop(self.announced.swap_remove(&record.name)),
            Command::Forget { ids } => {
                let ids = ids.iter().rev();
                ids.for_each(|id| self.over.push_front((self.now, *id)));
            }
            _ => {}
        }
    }

    /// Ends are in the replicated state: they may be acknowledged, and what
    /// waited for them may go on.
    pub(super) fn ends_noted(&mut self, state: &ControlState, name: &str, ends: &[TaskEnd]) {
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
        self.dirty = true;
    }

    /// Settles the run that ended, if it is the one that is known.
    fn settle(&mut self, state: &ControlState, key: Option<WorkerKey>, end: &crate::End) {
        let known = self.attempts.get(&end.task);
        let Some(attempt) = known.filter(|attempt| attempt.run == end.run) else {
            return;
        };
        let (at, checkpoint) = (attempt.worker, attempt.checkpoint.clone());
        self.remove_attempt(end.task);
        if end.kind == EndKind::Failed {
            self.blame(key.unwrap_or(at), end);
        }
        let done = state
            .jobs
            .get(&end.task.job())
            .is_none_or(|job| job.is_task_done(end.task.step, end.task.index));
        if !done {
            self.requeue(end.task, at, checkpoint);
        } else if let Some(step) = self.steps.get_mut(&end.task.step) {
            step.take_off(at);
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
    fn go_on(&mut self, state: &ControlState, id: JobId) {
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
            self.activate_occurrence(id, job, step.occurrence);
        }
    }
}
