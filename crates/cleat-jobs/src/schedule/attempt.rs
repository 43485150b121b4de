//! One run of a task as its owner sees it.

use std::time::Duration;

use super::Scheduler;
use super::account::Charge;
use super::worker::WorkerKey;
use crate::state::Suspicion;
use crate::{Run, Size, TaskId};

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start is on its way.
    Starting,
    /// The worker answered that it runs.
    Running {
        /// When the owner knew. A list that was asked for later has to name it.
        known_at: Duration,
    },
    /// The start has no answer. A list that is asked for later tells whether the
    /// run is there, before anything is done about it.
    Unanswered {
        /// Since when.
        since: Duration,
    },
    /// The start has no answer, so the worker is told to stop the run before
    /// it is started elsewhere.
    InDoubt {
        /// When the last stop was sent.
        stop_sent: Duration,
    },
    /// The worker answered the stop. A list that was asked for later tells
    /// whether the run had come to an end before.
    Closed {
        /// When the answer came.
        at: Duration,
    },
    /// The worker is told to stop the run.
    Stopping {
        /// When the last stop was sent.
        stop_sent: Duration,
    },
    /// The worker listed the end; it is being committed.
    Ended,
}

/// One run.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) run: Run,
    pub(crate) worker: WorkerKey,
    pub(crate) phase: Phase,
    /// What it takes up on its worker. Invariant: counted in the worker's
    /// `used` unless the phase is `Ended`.
    pub(crate) footprint: Size,
    /// What it counts for. Invariant: counted in its customer's account unless the
    /// phase is `Ended`.
    pub(crate) charge: Charge,
    /// Whether it goes on until its job is cancelled.
    pub(crate) lasts: bool,
    /// When the start was sent, or when the run was adopted.
    pub(crate) began: Duration,
    /// Whether its worker lists it as working at its full pace.
    pub(crate) at_work: bool,
    /// What crashes of workers lay on its task when it began.
    pub(crate) suspicion: Suspicion,
    /// The latest checkpoint seen.
    pub(crate) checkpoint: Box<str>,
}

impl Attempt {
    /// Whether the run still takes up room.
    pub(crate) fn holds_room(&self) -> bool {
        self.phase != Phase::Ended
    }
}

impl Scheduler {
    /// Adds a run that takes up room on its worker.
    pub(super) fn add_attempt(&mut self, task: TaskId, attempt: Attempt) {
        if attempt.holds_room() {
            self.accounts.add(attempt.charge);
        }
        let worker = &mut self.workers[attempt.worker];
        worker.used += attempt.footprint;
        worker.lasting += usize::from(attempt.lasts);
        worker.crashes += attempt.suspicion.crashes;
        worker.tasks.insert(task);
        self.job_tasks.entry(task.job()).or_default().insert(task);
        self.attempts.insert(task, attempt);
    }

    /// Takes a run as ended and frees its room. Its task waits for a commit.
    pub(super) fn end_attempt(&mut self, task: TaskId) -> Option<&Attempt> {
        let attempt = self.attempts.get_mut(&task)?;
        if !attempt.holds_room() {
            return None;
        }
        attempt.phase = Phase::Ended;
        self.workers[attempt.worker].used -= attempt.footprint;
        let charge = attempt.charge;
        self.release_charge(charge);
        self.attempts.get(&task)
    }

    /// Removes a run and frees its room.
    pub(super) fn remove_attempt(&mut self, task: TaskId) -> Option<Attempt> {
        let attempt = self.attempts.swap_remove(&task)?;
        let worker = &mut self.workers[attempt.worker];
        worker.tasks.swap_remove(&task);
        worker.lasting -= usize::from(attempt.lasts);
        worker.crashes -= attempt.suspicion.crashes;
        if let Some(tasks) = self.job_tasks.get_mut(&task.job()) {
            tasks.swap_remove(&task);
            if tasks.is_empty() {
                self.job_tasks.swap_remove(&task.job());
            }
        }
        if attempt.holds_room() {
            worker.used -= attempt.footprint;
            self.release_charge(attempt.charge);
        }
        Some(attempt)
    }
}
