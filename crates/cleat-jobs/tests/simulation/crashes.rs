//! Crashes of workers, and what they allow.

use std::time::Duration;

use cleat_jobs::{JobId, TaskId};
use indexmap::IndexMap;

use super::check::Violation;

/// After how many crashes under a task its starts are counted.
const CRASHES_ALLOWED: u32 = 3;
/// How many of these starts are too many.
const STARTS_TOO_MANY: u32 = 3;
/// Under how many crashes a task may be given up.
const GIVEN_UP_FROM: u32 = 2;
/// How long after a change of owner starts are not held against it.
const SETTLING: Duration = Duration::from_secs(3);

/// The crashes under each task, and the starts since the third.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    by_task: IndexMap<TaskId, u32>,
    starts: IndexMap<TaskId, u32>,
    /// When the owner changed last.
    disturbed_at: Duration,
}

impl Crashes {
    /// Notes that a worker crashed while it ran a task.
    pub(super) fn note(&mut self, task: TaskId) {
        *self.by_task.entry(task).or_default() += 1;
    }

    /// Notes that the owner changes.
    pub(super) fn disturb(&mut self, now: Duration) {
        self.disturbed_at = now;
    }

    /// Counts a start of a task that crashes its workers.
    pub(super) fn check(&mut self, task: TaskId, now: Duration) -> Result<(), Violation> {
        let crashes = self.by_task.get(&task).copied().unwrap_or_default();
        if crashes < CRASHES_ALLOWED || now < self.disturbed_at + SETTLING {
            return Ok(());
        }
        let starts = self.starts.entry(task).or_default();
        *starts += 1;
        if *starts >= STARTS_TOO_MANY {
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
            >= GIVEN_UP_FROM
    }
}
