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
const MOST_TOGETHER: usize = 4;
/// One in so many of a pool's workers is emptied at most for tasks that have to start
/// alone: other work goes on.
const EMPTIED_ONE_IN: usize = 4;

impl ActiveStep {
    /// Its tasks without a run under which workers have crashed.
    pub(super) fn waiting_suspects(&self) -> impl Iterator<Item = (u32, Suspicion)> {
        let suspects = self.suspects();
        suspects.filter(|(index, _)| self.pending.contains(index))
    }
}

impl Scheduler {
    /// Whether a worker has a task to itself that has to be alone.
    pub(super) fn is_taken_alone(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.crashes > 0 && self.unsettled(key).any(|run| run.suspicion.needs_isolation)
    }

    /// Whether a worker keeps a task of a step apart from whatever else may crash it.
    pub(super) fn isolates(&self, step: &ActiveStep, index: u32, key: WorkerKey) -> bool {
        let is_open = !self.emptied.contains(&key) && !self.is_taken_alone(key);
        let suspicion = step.suspicion(index);
        if suspicion.needs_isolation {
            return self.unsettled(key).next().is_none() && !self.workers[key].has_strays;
        }
        let is_suspect = suspicion.crashes > 0 && self.workers[key].crashes > 0;
        is_open && (!is_suspect || self.suspects_at(key) < MOST_TOGETHER)
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
    fn suspects_at(&self, key: WorkerKey) -> usize {
        let runs = self.unsettled(key);
        runs.filter(|run| run.suspicion.crashes > 0).count()
    }

    /// The runs of a worker that may crash it.
    fn unsettled(&self, key: WorkerKey) -> impl Iterator<Item = &Attempt> {
        let tasks = self.workers[key].tasks.iter();
        let runs = tasks.filter_map(|task| self.attempts.get(task));
        runs.filter(|run| run.holds_room() && !self.is_sound(run))
    }

    /// Notes which tasks of a step workers have crashed under.
    pub(super) fn note_suspects(&mut self, state: &ControlState, id: StepId) {
        let job = state.jobs.get(&id.job);
        let Some((step, job)) = self.steps.get_mut(&id).zip(job) else {
            return;
        };
        step.suspect(job.suspicions(id, self.owner.ordinal));
        if step.suspects().next().is_some() {
            self.suspect_steps.insert(id);
        }
    }

    /// Chooses the workers of a pool that nothing else starts on, so that tasks which
    /// have to start alone find a place: those with the least to wait for.
    pub(super) fn empty_for_suspects(&mut self, state: &ControlState, candidates: &[WorkerKey]) {
        self.emptied.clear();
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
                let suspects = self.steps[id].waiting_suspects();
                let alone = suspects.filter(|(_, suspicion)| suspicion.needs_isolation);
                alone.map(|(index, _)| id.task(index))
            })
            .collect();
        let most = candidates.len().div_ceil(EMPTIED_ONE_IN);
        let mut emptied = IndexSet::new();
        for task in waiting.into_iter().take(most) {
            emptied.extend(self.soonest_empty(state, task, candidates, &emptied));
        }
        self.emptied = emptied;
    }

    /// The worker with the fewest runs to wait for that has room for a task once they
    /// have ended.
    fn soonest_empty(
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
        let soonest = suitable.min_by_key(|key| (self.unsettled(**key).count(), **key));
        soonest.copied()
    }
}
