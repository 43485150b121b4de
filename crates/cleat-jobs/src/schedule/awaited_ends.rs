//! Ends that a worker has listed, that are not committed yet, and that may decide
//! the fate of their task.
//!
//! A worker that comes back after its lease expired lists how its runs ended.
//! By then its tasks may be waiting for a start, or have other runs. Once such
//! an end is committed, the task may be done or have failed for the last time,
//! so it is not started before. That includes ends that are held.

use std::time::Duration;

use super::Scheduler;
use super::worker::WorkerKey;
use crate::collections::{IndexMap, IndexSet};
use crate::state::{End, EndKind, TaskEnd};
use crate::{Run, TaskId};

/// The runs of each task whose end `done` or `failed` this owner has proposed or
/// holds, and has not seen applied.
#[derive(Debug, Default)]
pub(crate) struct AwaitedEnds(IndexMap<TaskId, IndexSet<Run>>);

impl AwaitedEnds {
    /// Adds an end that is listed, if it may decide the fate of its task.
    pub(super) fn add(&mut self, end: &End) {
        if matches!(end.kind, EndKind::Done | EndKind::Failed) {
            self.0.entry(end.task).or_default().insert(end.run);
        }
    }

    /// Removes an end that was applied or given up. Does nothing for other ends.
    pub(super) fn remove(&mut self, end: &End) {
        let Some(runs) = self.0.get_mut(&end.task) else {
            return;
        };
        runs.swap_remove(&end.run);
        if runs.is_empty() {
            self.0.swap_remove(&end.task);
        }
    }

    /// Whether an end of the task is awaited.
    pub(super) fn contains(&self, task: TaskId) -> bool {
        self.0.contains_key(&task)
    }
}

impl Scheduler {
    /// Prevents tasks from being started whose ends are listed or were applied while the
    /// worker had no record. They cannot be proposed yet.
    pub(super) fn add_unrecorded_ends(&mut self, key: WorkerKey, ends: &[TaskEnd]) {
        self.await_held_ends(key, ends);
        let now = self.now;
        let unrecorded = &mut self.workers[key].unrecorded_ends;
        for new in ends {
            if !unrecorded.iter().any(|(_, known)| known == new) {
                unrecorded.push((now, new.clone()));
            }
        }
    }

    /// Gives up the ends that were listed or applied while the worker had no record, except
    /// those for which `is_kept` holds, given since when they are known and their number.
    /// Their tasks would otherwise wait forever.
    pub(super) fn abandon_unrecorded_ends(
        &mut self,
        key: WorkerKey,
        is_kept: impl Fn(Duration, u64) -> bool,
    ) {
        let unrecorded = &mut self.workers[key].unrecorded_ends;
        let abandoned = unrecorded.extract_if(.., |(since, end)| !is_kept(*since, end.number));
        let abandoned = abandoned.map(|(_, listed)| listed.end);
        self.abandoned_ends.extend(abandoned);
    }

    /// Queues a task that has no run, unless an end of it is awaited.
    pub(super) fn queue_unless_running(&mut self, task: TaskId) {
        if self.attempts.contains_key(&task) || self.awaited_ends.contains(task) {
            return;
        }
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        if !step.done.contains(&task.index) && step.pending.insert(task.index) {
            self.mark_step_ready(task.step);
        }
    }
}
