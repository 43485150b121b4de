//! Isolation of suspect tasks, which were running on a worker when it crashed.
//!
//! A crash is evidence against a single task only if no other task can have
//! caused it. So a task that had started right before a crash, or whose workers
//! have crashed twice, starts alone: no other task starts on its worker until
//! it has ended, or has run for so long that it is no longer a suspect. The
//! next crash is then evidence against a single task, however many tasks crash
//! their workers at once. Of the other tasks of a crashed worker only a few
//! start together on one worker, since most of them are not the cause.

use indexmap::IndexSet;

use super::Scheduler;
use super::attempt::Attempt;
use super::step::ActiveStep;
use super::worker::WorkerKey;
use crate::state::{ControlState, Suspicion};
use crate::{StepId, TaskId};

/// The maximum number of suspect tasks on one worker, if none of them has to
/// run alone.
const MAX_SUSPECTS_PER_WORKER: usize = 4;
/// At most one worker in this many is reserved for tasks that have to run
/// alone, so that other work continues.
const WORKERS_PER_RESERVATION: usize = 4;

impl ActiveStep {
    /// The suspect tasks of the step that wait for a start.
    pub(super) fn pending_suspects(&self) -> impl Iterator<Item = (u32, Suspicion)> {
        let suspects = self.suspect_tasks();
        suspects.filter(|(index, _)| self.pending.contains(index))
    }
}

impl Scheduler {
    /// Whether a task that has to run alone is running on the worker.
    pub(super) fn is_isolated(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.task_crashes > 0
            && self
                .uncleared_runs(key)
                .any(|run| run.suspicion.needs_isolation)
    }

    /// Whether starting a task of a step on a worker respects the isolation
    /// rules, both for the task and for those that run there.
    pub(super) fn provides_isolation(&self, step: &ActiveStep, index: u32, key: WorkerKey) -> bool {
        let is_open = !self.reserved_for_suspects.contains(&key) && !self.is_isolated(key);
        let suspicion = step.suspicion(index);
        if suspicion.needs_isolation {
            return self.uncleared_runs(key).next().is_none() && !self.workers[key].has_strays;
        }
        let is_suspect = suspicion.crashes > 0 && self.workers[key].task_crashes > 0;
        is_open && (!is_suspect || self.suspect_count(key) < MAX_SUSPECTS_PER_WORKER)
    }

    /// Whether a task of a step is a suspect.
    pub(super) fn is_suspect_task(&self, id: StepId, index: u32) -> bool {
        let step = self.steps.get(&id);
        step.is_some_and(|step| step.suspicion(index).crashes > 0)
    }

    /// The tasks of a step, suspects first.
    pub(super) fn suspects_first(&self, id: StepId, indexes: &[u32]) -> Vec<u32> {
        let mut ordered = indexes.to_vec();
        ordered.sort_by_key(|index| !self.is_suspect_task(id, *index));
        ordered
    }

    /// The number of runs of suspect tasks on a worker that are not cleared.
    fn suspect_count(&self, key: WorkerKey) -> usize {
        let runs = self.uncleared_runs(key);
        runs.filter(|run| run.suspicion.crashes > 0).count()
    }

    /// The runs on a worker that may still crash it: those that have not run
    /// for long enough to be cleared.
    fn uncleared_runs(&self, key: WorkerKey) -> impl Iterator<Item = &Attempt> {
        let worker = &self.workers[key];
        let tasks = worker.tasks.iter();
        let runs = tasks.filter_map(|task| Some((*task, self.attempts.get(task)?)));
        let runs = runs.chain(self.superseded.on(key));
        let uncleared = runs.filter(|(task, run)| {
            run.uses_capacity() && !worker.holds_end_of(*task, run.run) && !self.is_cleared(run)
        });
        uncleared.map(|(_, run)| run)
    }

    /// Updates the suspect tasks of a step from the replicated state.
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

    /// Chooses the workers of a pool that are reserved for tasks that have to
    /// start alone: those with the fewest runs that have to end first. No other
    /// task starts on them.
    pub(super) fn reserve_for_suspects(&mut self, state: &ControlState, candidates: &[WorkerKey]) {
        self.reserved_for_suspects.clear();
        let steps = &self.steps;
        self.suspect_steps.retain(|id| steps.contains_key(id));
        let pool = candidates
            .first()
            .map(|key| &self.workers[*key].record.pool);
        let in_pool = self.suspect_steps.iter().filter(|id| {
            let step = &self.steps[*id];
            Some(&step.pool) == pool && !step.pending.is_empty()
        });
        let waiting: Vec<TaskId> = in_pool
            .flat_map(|id| {
                let suspects = self.steps[id].pending_suspects();
                let alone = suspects.filter(|(_, suspicion)| suspicion.needs_isolation);
                alone.map(|(index, _)| id.task(index))
            })
            .collect();
        let max_reserved = candidates.len().div_ceil(WORKERS_PER_RESERVATION);
        let mut reserved = IndexSet::new();
        for task in waiting.into_iter().take(max_reserved) {
            reserved.extend(self.worker_to_reserve(state, task, candidates, &reserved));
        }
        self.reserved_for_suspects = reserved;
    }

    /// The worker with the fewest runs that have to end first, among those that
    /// have enough capacity for the task once these runs have ended.
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
