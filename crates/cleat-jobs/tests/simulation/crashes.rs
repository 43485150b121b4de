//! Counts the worker crashes under each task and checks the starts that follow.

use std::time::Duration;

use cleat_jobs::{JobId, TaskId};
use indexmap::IndexMap;

use super::violation::Violation;

/// The number of crashes under a task after which its starts are counted.
const CRASHES_ALLOWED: u32 = 3;
/// The number of these starts that is a violation.
const EXCESS_STARTS: u32 = 3;
/// The number of crashes under a task that allows its job to fail.
const MIN_CRASHES_TO_FAIL: u32 = 2;
/// How long after a change of owner starts are not counted.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The crashes under each task, and its starts since the third crash.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    by_task: IndexMap<TaskId, u32>,
    starts: IndexMap<TaskId, u32>,
    /// When the owner last changed.
    owner_changed_at: Duration,
}

impl Crashes {
    /// Records that a worker crashed while it ran a task.
    pub(super) fn record_crash(&mut self, task: TaskId) {
        *self.by_task.entry(task).or_default() += 1;
    }

    /// Records a change of owner.
    pub(super) fn record_owner_change(&mut self, now: Duration) {
        self.owner_changed_at = now;
    }

    /// Counts a start of a crashing task and checks that there are not too many.
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

    /// Whether the job may fail because of crashes.
    pub(super) fn may_fail_from_crashes(&self, id: JobId) -> bool {
        let of_job = self.by_task.iter().filter(|(task, _)| task.job() == id);
        of_job
            .map(|(_, crashes)| *crashes)
            .max()
            .unwrap_or_default()
            >= MIN_CRASHES_TO_FAIL
    }
}
