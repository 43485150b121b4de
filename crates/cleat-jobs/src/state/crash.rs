//! Crashes of workers under a task, as they are replicated.
//!
//! A worker that crashed lists no ends, so nothing of what ran there counts as a
//! failed attempt. A task that crashes each worker on which it starts would go on
//! for ever and take along whatever runs beside it; so the crashes under each task
//! are counted, through changes of owner.

use serde::{Deserialize, Serialize};

use crate::{Run, TaskId};

/// How many crashes there may be under a task at most, those included that were not
/// counted since an owner died before. Each costs the other tasks of a worker what
/// they had done.
const POSSIBLE: usize = 5;
/// After how many crashes a task is given up that was blamed for [`AT_LEAST`] of them.
const BLAMED: usize = 3;
/// How many runs of a task that is given up have to be blamed, or to have begun.
/// Machines crash as well, so one tells nothing.
const AT_LEAST: usize = 2;

/// What part a run may have had in the crash of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Part {
    /// Its worker left renewals unanswered until the lease was over, and may have
    /// been cut off.
    Lapsed,
    /// Its start had no answer, and it may never have begun.
    InDoubt,
    /// It had begun, as others had.
    Begun,
    /// It had begun, and under no other task there as many workers had crashed.
    Blamed,
}

/// A run that was lost when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Its part in the crash.
    pub part: Part,
}

/// The crashes under one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The runs, with their parts.
    ///
    /// Invariant: each run once, however often its crash was committed.
    runs: Vec<(Run, Part)>,
}

impl Crashes {
    /// How many there are or may have been.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Notes a crash. A run that was noted before keeps the part that says more.
    pub(super) fn note(&mut self, crashed: &CrashedRun) {
        let mut runs = self.runs.iter_mut();
        match runs.find(|(run, _)| *run == crashed.run) {
            Some((_, part)) => *part = crashed.part.max(*part),
            None => self.runs.push((crashed.run, crashed.part)),
        }
    }

    /// Whether the task is not started any more. At most `uncounted` workers more have
    /// crashed under it.
    pub(super) fn give_up(&self, uncounted: usize) -> bool {
        let with = |least| self.runs.iter().filter(|(_, part)| *part >= least).count();
        let possible = self.count() + uncounted;
        (with(Part::Blamed) >= AT_LEAST && possible >= BLAMED)
            || (with(Part::Begun) >= AT_LEAST && possible >= POSSIBLE)
            || with(Part::InDoubt) >= POSSIBLE
    }
}
