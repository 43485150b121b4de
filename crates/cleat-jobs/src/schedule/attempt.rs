//! The owner's record of one run of a task.

use std::time::Duration;

use super::Scheduler;
use super::account::Charge;
use super::worker::{Worker, WorkerKey};
use crate::state::Suspicion;
use crate::{Run, Size, TaskId};

/// The progress of a run, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start order was sent and has no answer yet.
    Starting,
    /// The worker confirmed the start or listed the run.
    Running {
        /// When the owner learned that the run exists. A list that is requested
        /// later has to contain the run.
        known_at: Duration,
    },
    /// The start order failed without an answer. The next list that is
    /// requested shows whether the run exists; until then the owner neither
    /// stops the run nor starts the task again.
    Unanswered {
        /// When the start order failed.
        since: Duration,
    },
    /// The start order failed without an answer. The worker is ordered to stop
    /// the run before the task is started elsewhere.
    InDoubt {
        /// When the stop order was last sent.
        stop_sent: Duration,
    },
    /// The worker confirmed the stop of a run in doubt. A list that is
    /// requested later shows whether the run had ended before.
    StopAnswered {
        /// When the confirmation arrived.
        at: Duration,
    },
    /// A running run was ordered to stop, and its end is not listed yet.
    Stopping {
        /// When the stop order was last sent.
        stop_sent: Duration,
    },
    /// The run has ended, and its end is being committed.
    Ended,
}

impl Phase {
    /// Whether the run may continue and was not ordered to stop.
    pub(crate) fn is_open(self) -> bool {
        matches!(
            self,
            Phase::Starting | Phase::Running { .. } | Phase::Unanswered { .. }
        )
    }
}

/// One run of a task.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) run: Run,
    pub(crate) worker: WorkerKey,
    pub(crate) phase: Phase,
    /// The resources that it uses on its worker. Invariant: included in the
    /// worker's `used` unless the phase is `Ended`.
    pub(crate) footprint: Size,
    /// What it counts for in its customer's account. Invariant: included in
    /// that account unless the phase is `Ended`.
    pub(crate) charge: Charge,
    /// Whether it runs until its job is cancelled.
    pub(crate) long_running: bool,
    /// When the start was sent, or when the run was adopted from an earlier
    /// owner.
    pub(crate) started_at: Duration,
    /// Whether its worker lists it as running at full speed.
    pub(crate) at_full_speed: bool,
    /// The crashes that counted against its task when it started.
    pub(crate) suspicion: Suspicion,
    /// The latest checkpoint that the worker listed.
    pub(crate) checkpoint: Box<str>,
}

impl Attempt {
    /// Whether the run still uses capacity on its worker.
    pub(crate) fn uses_capacity(&self) -> bool {
        self.phase != Phase::Ended
    }
}

impl Worker {
    fn add_use(&mut self, attempt: &Attempt) {
        self.used += attempt.footprint;
        if attempt.long_running {
            self.used_by_long_running += attempt.footprint;
        }
    }

    fn release_use(&mut self, attempt: &Attempt) {
        self.used -= attempt.footprint;
        if attempt.long_running {
            self.used_by_long_running -= attempt.footprint;
        }
    }
}

impl Scheduler {
    /// Adds a run and reserves its capacity on its worker.
    pub(super) fn add_attempt(&mut self, task: TaskId, attempt: Attempt) {
        if attempt.uses_capacity() {
            self.accounts.add(attempt.charge);
        }
        self.workers[attempt.worker].add_use(&attempt);
        self.insert_attempt(task, attempt);
    }

    /// Adds a run whose capacity and charge are already counted.
    pub(super) fn insert_attempt(&mut self, task: TaskId, attempt: Attempt) {
        let worker = &mut self.workers[attempt.worker];
        worker.long_running += usize::from(attempt.long_running);
        worker.task_crashes += attempt.suspicion.crashes;
        worker.tasks.insert(task);
        self.job_tasks.entry(task.job()).or_default().insert(task);
        self.attempts.insert(task, attempt);
    }

    /// Marks a run as ended and frees its capacity. Its task is not started
    /// again until the end is committed.
    pub(super) fn end_attempt(&mut self, task: TaskId) -> Option<&Attempt> {
        let attempt = self.attempts.get_mut(&task)?;
        if !attempt.uses_capacity() {
            return None;
        }
        attempt.phase = Phase::Ended;
        self.workers[attempt.worker].release_use(attempt);
        self.capacity_gains += u64::from(attempt.long_running);
        let charge = attempt.charge;
        self.release_charge(charge);
        self.attempts.get(&task)
    }

    /// Removes a run and frees its capacity.
    pub(super) fn remove_attempt(&mut self, task: TaskId) -> Option<Attempt> {
        let attempt = self.take_attempt(task)?;
        if attempt.uses_capacity() {
            self.workers[attempt.worker].release_use(&attempt);
            self.capacity_gains += u64::from(attempt.long_running);
            self.release_charge(attempt.charge);
        }
        Some(attempt)
    }

    /// Removes a run without freeing its capacity.
    pub(super) fn take_attempt(&mut self, task: TaskId) -> Option<Attempt> {
        let attempt = self.attempts.swap_remove(&task)?;
        let worker = &mut self.workers[attempt.worker];
        worker.tasks.swap_remove(&task);
        worker.long_running -= usize::from(attempt.long_running);
        worker.task_crashes -= attempt.suspicion.crashes;
        if let Some(tasks) = self.job_tasks.get_mut(&task.job()) {
            tasks.swap_remove(&task);
            if tasks.is_empty() {
                self.job_tasks.swap_remove(&task.job());
            }
        }
        Some(attempt)
    }
}
