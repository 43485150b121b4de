//! Isolation of tasks under which workers have crashed.
//!
//! A crash proves something of a task only where no other can have caused it. So a task
//! that was started right before a crash, or under which two workers have crashed, starts
//! alone: nothing starts beside it until it has ended, or has been at work for so long
//! that it is no suspect any more. The next crash is then proof against one task, however
//! many tasks crash their workers at once. Of the other tasks of a crashed worker only a
//! few start together, since most of them are sound.

use indexmap::IndexSet;

use super::Scheduler;
use super::attempt::Attempt;
use super::step::ActiveStep;
use super::worker::WorkerKey;
use crate::state::{ControlState, Suspicion};
use crate::{StepId, TaskId};

/// How many tasks under which one worker has crashed start on one worker at most, where
/// none of them has to be alone.
const MAX_SUSPECTS_PER_WORKER: usize = 4;
/// One in so many of a pool's workers is emptied at most for tasks that have to start
/// alone: other work goes on.
const WORKERS_PER_RESERVATION: usize = 4;

impl ActiveStep {
    /// Its tasks without a run under which workers have crashed.
    pub(super) fn pending_suspects(&self) -> impl Iterator<Item = (u32, Suspicion)> {
        let suspects = self.suspect_tasks();
        suspects.filter(|(index, _)| self.pending.contains(index))
    }
}

impl Scheduler {
    /// Whether a worker has a task to itself that has to be alone.
    pub(super) fn is_isolated(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.task_crashes > 0 && self.uncleared_runs(key).any(|run| run.suspicion.alone)
    }

    /// Whether a worker keeps a task of a step apart from whatever else may crash it.
    pub(super) fn provides_isolation(&self, step: &ActiveStep, index: u32, key: WorkerKey) -> bool {
        let is_open = !self.reserved_for_suspects.contains(&key) && !self.is_isolated(key);
        let suspicion = step.suspicion(index);
        if suspicion.alone {
            return self.uncleared_runs(key).next().is_none() && !self.workers[key].has_strays;
        }
        let is_suspect = suspicion.crashes > 0 && self.workers[key].task_crashes > 0;
        is_open && (!is_suspect || self.suspect_count(key) < MAX_SUSPECTS_PER_WORKER)
    }

    /// Whether workers have crashed under a task of a step.
    pub(super) fn is_suspect_task(&self, id: StepId, index: u32) -> bool {
        let step = self.steps.get(&id);
        step.is_some_and(|step| step.suspicion(index).crashes > 0)
    }

    /// The tasks of a step, those first that have to be kept apart from the others.
    pub(super) fn suspects_first(&self, id: StepId, indexes: &[u32]) -> Vec<u32> {
        let mut ordered = indexes.to_vec();
        ordered.sort_by_key(|index| !self.is_suspect_task(id, *index));
        ordered
    }

    /// How many runs of a worker may crash it, of those under which others have crashed.
    fn suspect_count(&self, key: WorkerKey) -> usize {
        let runs = self.uncleared_runs(key);
        runs.filter(|run| run.suspicion.crashes > 0).count()
    }

    /// The runs of a worker that may crash it.
    fn uncleared_runs(&self, key: WorkerKey) -> impl Iterator<Item = &Attempt> {
        let tasks = self.workers[key].tasks.iter();
        let runs = tasks.filter_map(|task| self.attempts.get(task));
        runs.filter(|run| run.uses_capacity() && !self.is_cleared(run))
    }

    /// Notes which tasks of a step workers have crashed under.
    pub(super) fn update_suspicions(&mut self, state: &ControlState, id: StepId) {
        let job = state.jobs.get(&id.job);
        let Some((step, job)) = self.steps.get_mut(&id).zip(job) else {
            return;
        };
        step.set_suspicions(job.suspicions(id, self.owner.ordinal));
        if step.suspect_tasks().next().is_some() {
            self.suspect_steps.insert(id);
        }
    }

    /// Chooses the workers of a pool that nothing else starts on, so that tasks which
    /// have to start alone find a place: those with the least to wait for.
    pub(super) fn reserve_for_suspects(&mut self, state: &ControlState, candidates: &[WorkerKey]) {
        self.reserved_for_suspects.clear();
        let steps = &self.steps;
        self.suspect_steps.retain(|id| steps.contains_key(id));
        let pool = candidates
            .first()
            .map(|key| &self.workers[*key].record.pool);
        let here = self.suspect_steps.iter().filter(|id| {
            let step = &self.steps[*id];
            Some(&step.pool) == pool && !step.pending.is_empty()
        });
        let waiting: Vec<TaskId> = here
            .flat_map(|id| {
                let suspects = self.steps[id].pending_suspects();
                let alone = suspects.filter(|(_, suspicion)| suspicion.alone);
                alone.map(|(index, _)| id.task(index))
            })
            .collect();
        let most = candidates.len().div_ceil(WORKERS_PER_RESERVATION);
        let mut reserved = IndexSet::new();
        for task in waiting.into_iter().take(most) {
            reserved.extend(self.worker_to_reserve(state, task, candidates, &reserved));
        }
        self.reserved_for_suspects = reserved;
    }

    /// The worker with the fewest runs to wait for that has room for a task once they
    /// have ended.
    fn worker_to_reserve(
        &self,
        state: &ControlState,
        task: TaskId,
        candidates: &[WorkerKey],
        except: &IndexSet<WorkerKey>,
    ) -> Option<WorkerKey> {
        let spec = state.jobs.get(&task.job())?.step(task.step)?;
        let label = spec.required_label.as_ref();
        let suits = |key: &&WorkerKey| {
            let worker = &self.workers[**key];
            !except.contains(*key)
                && spec.footprint().fits(worker.record.capacity)
                && label.is_none_or(|label| worker.has_label(label))
        };
        let suitable = candidates.iter().filter(suits);
        let chosen = suitable.min_by_key(|key| (self.uncleared_runs(**key).count(), **key));
        chosen.copied()
    }
}
