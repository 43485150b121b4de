//! Crashes of workers, and what they allow.

use std::time::Duration;

use cleat_jobs::{JobId, TaskId};
use indexmap::IndexMap;

use super::violation::Violation;

/// After how many crashes under a task its starts are counted.
const CRASHES_ALLOWED: u32 = 3;
/// How many of these starts are too many.
const EXCESS_STARTS: u32 = 3;
/// Under how many crashes a task may be given up.
const MIN_CRASHES_TO_FAIL: u32 = 2;
/// How long after a change of owner starts are not held against it.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The crashes under each task, and the starts since the third.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    by_task: IndexMap<TaskId, u32>,
    starts: IndexMap<TaskId, u32>,
    /// When the owner changed last.
    owner_changed_at: Duration,
}

impl Crashes {
    /// Notes that a worker crashed while it ran a task.
    pub(super) fn record_crash(&mut self, task: TaskId) {
        *self.by_task.entry(task).or_default() += 1;
    }

    /// Notes that the owner changes.
    pub(super) fn record_owner_change(&mut self, now: Duration) {
        self.owner_changed_at = now;
    }

    /// Counts a start of a task that crashes its workers.
    pub(super) fn check_start(&mut self, task: TaskId, now: Duration) -> Result<(), Violation> {
        let crashes = self.by_task.get(&task).copied().unwrap_or_default();
        if crashes < CRASHES_ALLOWED || now < self.owner_changed_at + SETTLING_TIME {
            return Ok(());
        }
        let starts = self.starts.entry(task).or_default();
        *starts += 1;
        if *starts >= EXCESS_STARTS {
            let ms = now.as_millis();
            return Err(Violation::CrashesOn { task, ms });
        }
        Ok(())
    }

    /// Whether a task of the job may be given up.
    pub(super) fn may_give_up(&self, id: JobId) -> bool {
        let of_job = self.by_task.iter().filter(|(task, _)| task.job() == id);
        of_job
            .map(|(_, crashes)| *crashes)
            .max()
            .unwrap_or_default()
            >= MIN_CRASHES_TO_FAIL
    }
}
