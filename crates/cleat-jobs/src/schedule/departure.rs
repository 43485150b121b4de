//! Workers that report that their life ends now.
//!
//! Such a worker ends once it hears the answer, or some seconds later if it hears none.
//! Until then its tasks run. They are stopped, which also saves their progress, and start
//! elsewhere once their ends are recorded. If the worker lists no ends, its tasks wait
//! until its life is known to be over or its lease has expired.

use super::decision::{LifeOver, StopReason};
use super::worker::{WorkerKey, WorkerState};
use super::{Decision, Effect, Scheduler};
use crate::TaskId;
use crate::state::worker_id;

impl Scheduler {
    /// Handles a worker's report that its life ends now. A report that names only the id of
    /// a worker with several lives may be a late one of an earlier life. So it counts if the
    /// last life drains, as a worker does before it leaves.
    pub(super) fn handle_worker_left(&mut self, name: &str) {
        let known = self.workers.named_by_platform(name);
        let is_own_report = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            worker.draining || *worker.record.name == *name
        };
        let Some(key) = known.filter(is_own_report) else {
            return self.confirm_departure(name);
        };
        let worker = &mut self.workers[key];
        worker.draining = true;
        worker.leaving = true;
        self.departing.insert(key);
        self.request_scheduling_for_worker(key);
        let worker = &self.workers[key];
        self.log(Decision::WorkerLeaving {
            worker: worker.record.name.clone(),
            state: worker.state,
            runs: worker.tasks.len() + worker.superseded_runs,
        });
    }

    /// Stops what runs on the workers that leave, and ends the lives of those on which
    /// nothing runs any more.
    pub(super) fn advance_departures(&mut self) {
        let departing: Vec<WorkerKey> = self.departing.iter().copied().collect();
        for key in departing {
            let worker = &self.workers[key];
            match worker.state {
                WorkerState::Gone => {
                    let name = self.worker_name(key);
                    self.departing.swap_remove(&key);
                    self.confirm_departure(&name);
                }
                WorkerState::Lapsed => self.end_departed_life(key),
                _ if worker.is_vacated() || !self.cfg.protections.await_departures => {
                    self.end_departed_life(key);
                }
                _ => self.stop_runs_on(key),
            }
        }
    }

    fn end_departed_life(&mut self, key: WorkerKey) {
        self.end_life(key, LifeOver::Left);
        self.departing.swap_remove(&key);
        let name = self.worker_name(key);
        self.confirm_departure(&name);
    }

    /// Tells the caller that reported the end of a worker that nothing runs there any more.
    fn confirm_departure(&mut self, name: &str) {
        let worker = worker_id(name).into();
        self.effects.push(Effect::Departed { worker });
    }

    /// Stops the runs of a worker that are not being stopped yet.
    fn stop_runs_on(&mut self, key: WorkerKey) {
        let tasks = self.workers[key].tasks.iter();
        let is_open = |task: &&TaskId| {
            let attempt = self.attempts.get(*task);
            attempt.is_some_and(|attempt| attempt.phase.is_open())
        };
        let open: Vec<TaskId> = tasks.filter(is_open).copied().collect();
        for task in open {
            self.stop(task, StopReason::Draining);
        }
        let superseded = self.superseded.on(key);
        let open = superseded.filter(|(_, run)| run.phase.is_open());
        let open: Vec<TaskId> = open.map(|(task, _)| task).collect();
        for task in open {
            self.stop_superseded(task, StopReason::Draining);
        }
    }
}
