//! Ends that a worker listed and that are not proposed for commit yet.
//!
//! An end that completes a task is held while the start of the task's other run
//! has no answer, since that start could be executed afterwards. The ends behind
//! it on its worker are held as well, since the ends of a worker are committed
//! in their order. The runs are over all the same: they cannot crash their
//! worker any more, need no copies, and are not lost when the lease of their
//! worker expires.

use super::Scheduler;
use super::attempt::Phase;
use super::worker::{Worker, WorkerKey};
use crate::state::{Command, ControlState, End, EndKind, TaskEnd};
use crate::{Run, TaskId};

impl Worker {
    /// Whether the worker listed the end of a run, and that end is held or waits for the
    /// worker's record.
    pub(super) fn holds_end_of(&self, task: TaskId, run: Run) -> bool {
        let held = self.held_ends.iter();
        let unrecorded = self.unrecorded_ends.iter().map(|(_, listed)| listed);
        let mut ends = held.chain(unrecorded).map(|listed| &listed.end);
        ends.any(|end| end.task == task && end.run == run)
    }
}

impl Scheduler {
    /// Whether an end completes a task while the start of its copy has no
    /// answer. Such an end is not committed yet, since the start could be
    /// executed afterwards.
    pub(super) fn is_end_held(&self, key: WorkerKey, end: &End) -> bool {
        if !self.speculates() || end.kind != EndKind::Done {
            return false;
        }
        let step = self.steps.get(&end.task.step);
        let known = self.attempts.get(&end.task);
        let other = known.filter(|known| (known.worker, known.run) != (key, end.run));
        step.is_some_and(|step| step.speculative)
            && other.is_some_and(|other| {
                !matches!(
                    other.phase,
                    Phase::Running { .. } | Phase::Stopping { .. } | Phase::Ended
                )
            })
    }

    /// Prevents tasks from being started whose ends are held.
    pub(super) fn await_held_ends(&mut self, key: WorkerKey, held: &[TaskEnd]) {
        for TaskEnd { end, .. } in held {
            self.awaited_ends.add(end);
            if self.awaited_ends.contains(end.task) && !self.attempts.contains_key(&end.task) {
                self.await_inherited_end(key, end);
            }
        }
    }

    /// Proposes the held ends of a worker whose life is over, except those that
    /// must not be committed yet: their runs are lost. The worker acknowledges
    /// nothing any more, so the order of its ends does not matter.
    pub(super) fn propose_held_ends(&mut self, key: WorkerKey) {
        let listed = std::mem::take(&mut self.workers[key].held_ends);
        let (held, ends): (Vec<TaskEnd>, Vec<TaskEnd>) = listed
            .into_iter()
            .partition(|listed| self.is_end_held(key, &listed.end));
        for TaskEnd { end, .. } in &held {
            self.awaited_ends.remove(end);
        }
        self.workers[key].held_ends = held;
        let Some(last) = ends.last().map(|end| end.number) else {
            return;
        };
        for TaskEnd { end, .. } in &ends {
            self.end_listed_run(key, end);
            self.awaited_ends.add(end);
        }
        let after = std::mem::replace(&mut self.workers[key].last_proposed_end, last);
        let worker = self.worker_name(key);
        self.propose(Command::RecordEnds {
            worker,
            after,
            ends,
        });
    }

    /// Proposes the ends that a worker listed before it stopped answering, as far as they
    /// need not be held any more. If it answers again, it lists the others again.
    pub(super) fn propose_released_ends(&mut self, state: &ControlState, key: WorkerKey) {
        let held = self.workers[key].held_ends.clone();
        self.handle_ends(state, key, &held);
    }

    /// Marks a run as ended whose end is proposed, if this owner knows it.
    fn end_listed_run(&mut self, key: WorkerKey, end: &End) {
        if self.is_superseded(key, end.task, end.run) {
            return self.end_superseded(end.task);
        }
        let known = self.attempts.get(&end.task);
        if known.is_some_and(|known| (known.worker, known.run) == (key, end.run)) {
            self.end_attempt(end.task);
        }
    }
}
