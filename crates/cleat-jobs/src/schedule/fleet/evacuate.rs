//! Emptying workers that are about to end.
//!
//! Tasks that end by themselves are left to it. Tasks that run until they are
//! cancelled are stopped and started elsewhere, as far as their step allows.

use crate::TaskId;
use crate::schedule::Scheduler;
use crate::schedule::attempt::Phase;
use crate::schedule::decision::StopReason;
use crate::schedule::worker::WorkerKey;
use crate::state::ControlState;

impl Scheduler {
    pub(super) fn evacuate(&mut self, state: &ControlState) {
        for key in self.leaving_workers() {
            self.evacuate_worker(state, key);
        }
    }

    fn evacuate_worker(&mut self, state: &ControlState, key: WorkerKey) {
        let runs = |task: &&TaskId| {
            let attempt = self.attempts.get(*task);
            attempt.is_some_and(|attempt| matches!(attempt.phase, Phase::Running { .. }))
        };
        let tasks = self.workers[key].tasks.iter();
        let here: Vec<TaskId> = tasks.filter(runs).copied().collect();
        for task in here {
            let job = state.jobs.get(&task.job());
            let Some(spec) = job.and_then(|job| job.step(task.step)) else {
                continue;
            };
            if !spec.long_running || !self.may_interrupt(task, spec) {
                continue;
            }
            if self.has_place(task, spec) {
                self.stop(task, StopReason::Draining);
            }
        }
    }

    /// Whether stopping a task leaves as many of its step at work as it asks.
    pub(super) fn may_interrupt(&self, task: TaskId, spec: &crate::StepSpec) -> bool {
        let Some(most) = spec.max_unavailable else {
            return true;
        };
        let away = (0..spec.count)
            .filter(|index| *index != task.index)
            .filter(|index| !self.is_at_work(task.step.task(*index)))
            .count();
        (away as u64) < u64::from(most)
    }

    fn is_at_work(&self, task: TaskId) -> bool {
        let attempt = self.attempts.get(&task);
        attempt.is_some_and(|attempt| {
            let running = matches!(attempt.phase, Phase::Running { .. });
            running && attempt.at_full_speed && self.workers[attempt.worker].answers()
        })
    }

    /// Whether another worker could take the task at once.
    fn has_place(&self, task: TaskId, spec: &crate::StepSpec) -> bool {
        let Some(step) = self.steps.get(&task.step) else {
            return false;
        };
        let candidates = self.candidates(&step.pool);
        self.choose_worker(task.step, task.index, spec, &candidates)
            .is_some()
    }
}
