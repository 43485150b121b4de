//! Eviction of long-running tasks from workers that must become empty.
//!
//! Other tasks are left to end by themselves. Tasks that run until they are cancelled are
//! stopped and restarted on other workers, as far as their step allows interruptions.

use crate::TaskId;
use crate::schedule::Scheduler;
use crate::schedule::attempt::Phase;
use crate::schedule::decision::StopReason;
use crate::schedule::worker::WorkerKey;
use crate::state::ControlState;

impl Scheduler {
    /// Evicts the long-running tasks of all workers that must become empty.
    pub(super) fn evict_long_running(&mut self, state: &ControlState) {
        for key in self.workers_to_empty() {
            self.evict_from_worker(state, key);
        }
    }

    fn evict_from_worker(&mut self, state: &ControlState, key: WorkerKey) {
        let is_running = |task: &&TaskId| {
            let attempt = self.attempts.get(*task);
            attempt.is_some_and(|attempt| matches!(attempt.phase, Phase::Running { .. }))
        };
        let tasks = self.workers[key].tasks.iter();
        let running: Vec<TaskId> = tasks.filter(is_running).copied().collect();
        for task in running {
            let job = state.jobs.get(&task.job());
            let Some(spec) = job.and_then(|job| job.step(task.step)) else {
                continue;
            };
            if !spec.long_running || !self.allows_eviction(task, spec) {
                continue;
            }
            if self.fits_elsewhere(task, spec) {
                self.stop(task, StopReason::Draining);
            }
        }
    }

    /// Whether the step of a task allows one more of its tasks to be interrupted.
    pub(super) fn allows_eviction(&self, task: TaskId, spec: &crate::StepSpec) -> bool {
        let Some(limit) = spec.max_unavailable else {
            return true;
        };
        let unavailable = (0..spec.count)
            .filter(|index| *index != task.index)
            .filter(|index| !self.is_fully_available(task.step.task(*index)))
            .count();
        (unavailable as u64) < u64::from(limit)
    }

    /// Whether a task runs at full speed on a worker that answers.
    fn is_fully_available(&self, task: TaskId) -> bool {
        let attempt = self.attempts.get(&task);
        attempt.is_some_and(|attempt| {
            let running = matches!(attempt.phase, Phase::Running { .. });
            running && attempt.at_full_speed && self.workers[attempt.worker].answers()
        })
    }

    /// Whether another worker has free capacity for the task now.
    fn fits_elsewhere(&self, task: TaskId, spec: &crate::StepSpec) -> bool {
        let Some(step) = self.steps.get(&task.step) else {
            return false;
        };
        let candidates = self.candidates(&step.pool);
        self.choose_worker(task.step, task.index, spec, &candidates)
            .is_some()
    }
}
