//! Crashes of workers under a task, as they are replicated.
//!
//! A worker that crashed lists no ends, so nothing of what ran there counts as a
//! failed attempt. A task that crashes each worker on which it starts would go on
//! for ever and take along whatever runs beside it; so the crashes under each task
//! are counted, through changes of owner.

use serde::{Deserialize, Serialize};

use crate::{Run, TaskId};

/// After how many crashes a task is given up if a worker that it had to itself crashed
/// right after its start.
const CRASH_LIMIT_JUST_STARTED: usize = 2;
/// The same if that worker crashed later: machines crash as well, the more the longer a
/// run takes. Those count that an owner which died may have left uncounted.
const CRASH_LIMIT_RUNNING: usize = 3;
/// The same where each start had no answer before its worker crashed.
const CRASH_LIMIT_UNANSWERED: usize = 5;
/// How many workers crash under a task at least before it is given up.
const MIN_CRASHES: usize = 2;
/// From how many crashes on a task has to have its worker to itself.
const MIN_CRASHES_FOR_ISOLATION: usize = 2;

/// What part a run may have had in the crash of its worker; later ones say more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// Its worker left renewals unanswered until the lease was over, and may have
    /// been cut off.
    LeaseExpired,
    /// Its start had no answer, and it may never have begun.
    StartUnanswered,
    /// It had begun, as others had.
    Running,
    /// It had begun right before, beside others.
    JustStarted,
    /// It had begun, and nothing else there could have been the cause.
    RunningAlone,
    /// It had begun right before, and nothing else there could have been the cause.
    JustStartedAlone,
}

/// A run that was lost when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Its part in the crash.
    pub evidence: CrashEvidence,
}

/// The crashes under one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The runs, with their parts.
    ///
    /// Invariant: each run once, however often its crash was committed.
    runs: Vec<(Run, CrashEvidence)>,
}

impl TaskCrashes {
    /// How many there are or may have been.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Notes a crash. A run that was noted before keeps the part that says more.
    pub(super) fn record(&mut self, crashed: &CrashedRun) {
        let mut runs = self.runs.iter_mut();
        match runs.find(|(run, _)| *run == crashed.run) {
            Some((_, evidence)) => *evidence = crashed.evidence.max(*evidence),
            None => self.runs.push((crashed.run, crashed.evidence)),
        }
    }

    /// Whether the task has to have its worker to itself, so that the next crash tells.
    /// At most `uncounted` workers more have crashed under it.
    pub(super) fn needs_isolation(&self, uncounted: usize) -> bool {
        self.count() + uncounted >= MIN_CRASHES_FOR_ISOLATION
            || self.count_at_least(CrashEvidence::JustStarted) > 0
    }

    /// Whether the task is not started any more. At most `uncounted` workers more have
    /// crashed under it. What lasts is ended on two proofs only, as callers count on
    /// what goes on.
    pub(super) fn exceeds_limit(&self, uncounted: usize, long_running: bool) -> bool {
        let alone = self.count_at_least(CrashEvidence::RunningAlone);
        let proved = match long_running {
            true => alone >= 2 && self.count() >= CRASH_LIMIT_RUNNING,
            false => {
                let sudden = self.count_at_least(CrashEvidence::JustStartedAlone) > 0;
                let enough = alone > 0 && self.count() + uncounted >= CRASH_LIMIT_RUNNING;
                enough || (sudden && self.count() >= CRASH_LIMIT_JUST_STARTED)
            }
        };
        let unanswered =
            self.count_at_least(CrashEvidence::StartUnanswered) >= CRASH_LIMIT_UNANSWERED;
        unanswered || (proved && self.count() >= MIN_CRASHES)
    }

    /// How many crashes say at least so much of the task.
    fn count_at_least(&self, minimum: CrashEvidence) -> usize {
        self.runs
            .iter()
            .filter(|(_, evidence)| *evidence >= minimum)
            .count()
    }
}

/// What workers' crashes lay on a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Suspicion {
    /// How many workers crashed or may have crashed under it.
    pub(crate) crashes: usize,
    /// Whether it has to have its worker to itself.
    pub(crate) needs_isolation: bool,
}
