//! Replicated counts of the worker crashes that each task may have caused.
//!
//! A crashed worker reports no ends, so its runs don't count as failed attempts. A task
//! that crashes every worker it starts on would be restarted for ever, and each time
//! the runs of other tasks on its worker would be lost. The crashes of the workers that
//! ran a task are therefore counted per task, across changes of owner.

use serde::{Deserialize, Serialize};

use crate::{Run, TaskId};

/// The number of crashes at which a task fails its job if the evidence of one of them is
/// [`CrashEvidence::JustStartedAlone`].
const CRASH_LIMIT_JUST_STARTED: usize = 2;
/// The number of crashes at which a task fails its job if the evidence of one of them is
/// [`CrashEvidence::RunningAlone`] or stronger. It is higher because the longer a run takes, the
/// likelier its machine crashes for another reason. Crashes that a failed owner may
/// not have recorded are included.
const CRASH_LIMIT_RUNNING: usize = 3;
/// The number of crashes at which a task fails its job even if no start was answered
/// before its worker crashed. Inconclusive ones are not counted.
const CRASH_LIMIT_UNANSWERED: usize = 5;
/// The minimum number of certain crashes at which a task fails its job: those of workers
/// on which it had started. A lease may expire, and a start have no answer, on a worker
/// that crashed without having run the task, or did not crash.
const MIN_CERTAIN_CRASHES: usize = 2;
/// The number of crashes from which a task is kept apart from tasks without crashes.
const MIN_CRASHES_FOR_QUARANTINE: usize = 2;
/// The number of crashes from which a task runs alone on its worker.
const MIN_CRASHES_TO_RUN_ALONE: usize = 3;

/// How strongly a worker's crash suggests that a run caused it, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// The worker left renewals unanswered until its lease expired, and may have been
    /// disconnected rather than crashed; or it crashed together with many others.
    Inconclusive,
    /// The start was not answered, so the run may never have started.
    StartUnanswered,
    /// The run had started, and so had other runs on the worker.
    Running,
    /// The run had started immediately before the crash, with other runs on the worker.
    JustStarted,
    /// The run had started, and no other run on the worker could have caused the crash.
    RunningAlone,
    /// The run had started immediately before the crash, and no other run on the worker
    /// could have caused it.
    JustStartedAlone,
}

/// A run that was lost when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// How strongly the crash suggests that the run caused it.
    pub evidence: CrashEvidence,
}

/// The crashes of workers that ran one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The lost runs, with the evidence against the task.
    ///
    /// Invariant: each run occurs once, however often its crash was committed.
    runs: Vec<(Run, CrashEvidence)>,
}

impl TaskCrashes {
    /// The number of workers that crashed or may have crashed while they ran the task.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// Records a crash. If the run is recorded already, the stronger evidence is kept.
    pub(super) fn record(&mut self, crashed: &CrashedRun) {
        let mut runs = self.runs.iter_mut();
        match runs.find(|(run, _)| *run == crashed.run) {
            Some((_, evidence)) => *evidence = crashed.evidence.max(*evidence),
            None => self.runs.push((crashed.run, crashed.evidence)),
        }
    }

    /// From which other tasks the task is kept apart, so that another crash is evidence
    /// against few tasks. Up to `uncounted` more workers that ran it may have crashed, which
    /// supports certain evidence only: after a change of owner all tasks of a crashed worker
    /// would otherwise wait for workers of their own.
    pub(super) fn isolation(&self, uncounted: usize) -> Isolation {
        let crashes = self.possible_count(uncounted);
        let has_just_started = self.count_at_least(CrashEvidence::JustStarted) > 0;
        let ran_alone = self.count_at_least(CrashEvidence::RunningAlone) > 0;
        let is_repeated = has_just_started && self.count() > 1;
        if ran_alone || is_repeated || crashes >= MIN_CRASHES_TO_RUN_ALONE {
            Isolation::Alone
        } else if has_just_started || crashes >= MIN_CRASHES_FOR_QUARANTINE {
            Isolation::Quarantine
        } else {
            Isolation::None
        }
    }

    /// The number of crashes that count against the task, with those that may not have been
    /// recorded.
    pub(super) fn possible_count(&self, uncounted: usize) -> usize {
        let has_evidence = self.count_at_least(CrashEvidence::StartUnanswered) > 0;
        self.count() + if has_evidence { uncounted } else { 0 }
    }

    /// Whether the task has crashed so many workers that its job fails. Up to
    /// `uncounted` more workers that ran it may have crashed; like crashes in doubt,
    /// they strengthen the evidence of certain ones but do not replace them. A
    /// long-running task needs two crashes while it ran alone, because callers depend on
    /// its availability.
    pub(super) fn reaches_limit(&self, uncounted: usize, long_running: bool) -> bool {
        let alone = self.count_at_least(CrashEvidence::RunningAlone);
        let proved = match long_running {
            true => alone >= 2 && self.count() >= CRASH_LIMIT_RUNNING,
            false => {
                let just_started = self.count_at_least(CrashEvidence::JustStartedAlone) > 0;
                let enough = alone > 0 && self.count() + uncounted >= CRASH_LIMIT_RUNNING;
                enough || (just_started && self.count() >= CRASH_LIMIT_JUST_STARTED)
            }
        };
        let unanswered =
            self.count_at_least(CrashEvidence::StartUnanswered) >= CRASH_LIMIT_UNANSWERED;
        let certain = self.count_at_least(CrashEvidence::Running);
        unanswered || (proved && certain >= MIN_CERTAIN_CRASHES)
    }

    /// The number of crashes with at least this evidence against the task.
    fn count_at_least(&self, minimum: CrashEvidence) -> usize {
        self.runs
            .iter()
            .filter(|(_, evidence)| *evidence >= minimum)
            .count()
    }
}

/// With which tasks a task may share a worker, given the crashes that count against it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Isolation {
    /// With any task that does not have to be isolated.
    #[default]
    None,
    /// With no task, or with others in quarantine if there are too many for a worker each.
    Quarantine,
    /// With no task.
    Alone,
}

/// How far a task is suspected of crashing its workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Suspicion {
    /// The number of workers that crashed or may have crashed while they ran it.
    pub(crate) crashes: usize,
    /// From which other tasks it is kept apart.
    pub(crate) isolation: Isolation,
}

impl Suspicion {
    /// Whether no other task may share its worker but those in quarantine.
    pub(crate) fn needs_isolation(self) -> bool {
        self.isolation != Isolation::None
    }
}
