//! Tasks that ran on a worker when it crashed.
//!
//! A crash does not show which of the worker's runs caused it, or whether the
//! machine did. So the tasks of a crashed worker are restarted on separate
//! workers, on other machines, and with as few other runs beside them as
//! possible: the next crash then leaves fewer suspects, and less work is lost.
//! The module `isolation` contains the rules that a placement must not break.
//! Each crash is committed before its tasks start again, so that the next owner
//! knows of the crash. The replicated state determines when a job fails because
//! of crashes.

use std::time::Duration;

use super::attempt::{Attempt, Phase};
use super::decision::{LifeOver, LossReason};
use super::log_names::task_name;
use super::step::ActiveStep;
use super::worker::{Worker, WorkerKey};
use super::{Decision, Scheduler};
use crate::collections::{IndexMap, IndexSet};
use crate::state::{Command, ControlState, CrashEvidence, CrashedRun, Isolation};
use crate::{JobId, TaskId};

/// How long a run has to be listed until it is cleared: a later crash of its
/// worker is not blamed on its task. Long-running tasks see many crashes of
/// machines over the months.
const CLEARED_AFTER: Duration = Duration::from_secs(10);
/// A crash this soon after the start of a run counts as evidence against its
/// task: a task that crashes its worker mostly does so as it starts.
const STARTUP_CRASH_WINDOW: Duration = Duration::from_millis(100);
/// For how long a machine on which a worker crashed is the last choice for a
/// suspect task: the machine may have been the cause.
const MACHINE_SUSPECT_FOR: Duration = Duration::from_secs(30);
/// A task that has to run alone starts only on a worker whose last answer is
/// not older than this. A renewal is answered after a second if nothing ends,
/// so a worker with a recent answer is found soon.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(100);

/// When a worker last crashed on each machine.
#[derive(Debug, Default)]
pub(crate) struct CrashedMachines(IndexMap<Box<str>, Duration>);

impl CrashedMachines {
    fn record(&mut self, machine: &str, now: Duration) {
        self.0.insert(machine.into(), now);
    }

    fn contains_machine_of(&self, worker: &Worker) -> bool {
        let machine = worker.record.machine.as_deref();
        machine.is_some_and(|machine| self.0.contains_key(machine))
    }

    /// Removes crashes that happened more than [`MACHINE_SUSPECT_FOR`] ago.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.0.retain(|_, at| now < *at + MACHINE_SUSPECT_FOR);
    }
}

/// Ranks the workers for a suspect task; the lowest is preferred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IsolationRank {
    /// The number of crashes that count against the tasks on the worker.
    crashes: usize,
    machine_suspect: bool,
    /// The long-running runs that a crash of the worker would interrupt.
    long_running: usize,
    runs: usize,
}

impl Scheduler {
    /// How well a worker separates a task of the step from suspect tasks. For a
    /// task without crashes only the crashes of the tasks on the worker count.
    pub(super) fn isolation_rank(
        &self,
        step: &ActiveStep,
        index: u32,
        worker: &Worker,
    ) -> IsolationRank {
        let crashes = worker.task_crashes;
        if step.suspicion(index).crashes == 0 {
            return IsolationRank {
                crashes,
                ..IsolationRank::default()
            };
        }
        IsolationRank {
            crashes,
            machine_suspect: self.crashed_machines.contains_machine_of(worker),
            long_running: worker.long_running,
            runs: worker.tasks.len(),
        }
    }

    /// Whether a worker has answered recently enough for a task of the step. If
    /// the worker had crashed a moment ago, the start would have no answer and
    /// the crash would count against the task. A gang is exempt: it would have
    /// to wait until many workers have answered recently at the same time.
    pub(super) fn answered_recently(&self, step: &ActiveStep, index: u32, worker: &Worker) -> bool {
        let answered_at = worker.answered_at.unwrap_or_default();
        let required = !step.gang && step.suspicion(index).needs_isolation();
        !required || self.now <= answered_at + MAX_ANSWER_AGE
    }

    /// Whether a worker's life ended in a crash, rather than by draining or an
    /// order for its machine.
    fn has_crashed(&self, key: WorkerKey, how: LifeOver) -> bool {
        let unintended = matches!(
            how,
            LifeOver::Replaced | LifeOver::Restarted | LifeOver::Absent
        );
        unintended && !self.workers[key].draining && !self.was_ended_by_order(key)
    }

    /// If the worker crashed, counts the crash against the runs that it had.
    /// Their tasks wait until that is committed.
    pub(super) fn record_crash(&mut self, key: WorkerKey, how: LifeOver) {
        if !self.has_crashed(key, how) {
            return;
        }
        if let Some(machine) = &self.workers[key].record.machine {
            self.crashed_machines.record(machine, self.now);
        }
        let mut runs = std::mem::take(&mut self.workers[key].lapsed_runs);
        runs.extend(self.end_suspect_runs(key, LossReason::Crashed));
        self.propose_crashed(runs);
    }

    /// Counts an expired lease against the runs that the worker had. The worker
    /// may only be disconnected, but if it crashed, the owner may never learn
    /// of the crash.
    pub(super) fn record_lapse(&mut self, key: WorkerKey) {
        let lapsed = self.end_suspect_runs(key, LossReason::Lapsed);
        self.workers[key].lapsed_runs = lapsed.clone();
        let lapsed = lapsed.into_iter().map(|run| CrashedRun {
            evidence: CrashEvidence::Inconclusive,
            ..run
        });
        self.propose_crashed(lapsed.collect());
    }

    fn propose_crashed(&mut self, runs: Vec<CrashedRun>) {
        if !runs.is_empty() {
            self.propose(Command::Crashed { runs });
        }
    }

    /// Ends the suspect runs of a worker and returns them with the evidence of
    /// the crash against each, to be committed.
    fn end_suspect_runs(&mut self, key: WorkerKey, reason: LossReason) -> Vec<CrashedRun> {
        let suspects = self.suspect_tasks_on(key);
        let superseded = self.suspect_superseded_on(key);
        let crash = Crash {
            at: self.failed_at(key),
            alone: suspects.len() + superseded.len() == 1 && !self.workers[key].has_strays,
            has_common_cause: self.record_failure_of(key),
        };
        let mut runs = Vec::new();
        for task in suspects {
            let Some(attempt) = self.attempts.get(&task) else {
                continue;
            };
            let confirmed = !self.may_have_crashed_worker(attempt);
            let crashed = crash.crashed_run(task, attempt, confirmed);
            self.end_lost_run(&crashed, reason);
            runs.push(crashed);
        }
        for task in superseded {
            let Some(attempt) = self.superseded.get(task) else {
                continue;
            };
            let confirmed = !self.may_have_crashed_worker(attempt);
            let crashed = crash.crashed_run(task, attempt, confirmed);
            self.crash_superseded(&crashed, reason);
            runs.push(crashed);
        }
        runs
    }

    /// Whether a worker that failed at this time ran a task that is likely to have caused it:
    /// one that ran alone, or a suspect that had just started.
    pub(super) fn has_likely_cause(&self, key: WorkerKey, at: Duration) -> bool {
        let is_likely = |run: &Attempt| {
            let is_suspect = run.suspicion.crashes > 0;
            run.suspicion.isolation == Isolation::Alone || (is_suspect && had_just_started(run, at))
        };
        self.uncleared_runs(key).any(is_likely)
    }

    /// The tasks whose superseded runs may have crashed a worker.
    fn suspect_superseded_on(&self, key: WorkerKey) -> Vec<TaskId> {
        let runs = self.superseded.on(key);
        let suspects = runs.filter(|(task, run)| {
            self.cfg.protections.count_crashes
                && run.uses_capacity()
                && self.steps.contains_key(&task.step)
                && !self.workers[key].holds_end_of(*task, run.run)
                && !self.is_cleared(run)
        });
        suspects.map(|(task, _)| task).collect()
    }

    /// The tasks that may have crashed a worker; none if crashes are not
    /// counted.
    fn suspect_tasks_on(&self, key: WorkerKey) -> Vec<TaskId> {
        let tasks = self.workers[key].tasks.iter().copied();
        let counted = |task: &TaskId| self.cfg.protections.count_crashes && self.is_suspect(*task);
        tasks.filter(counted).collect()
    }

    /// Whether the task's run may have started and may have caused a crash of
    /// its worker.
    fn is_suspect(&self, task: TaskId) -> bool {
        let Some(attempt) = self.attempts.get(&task) else {
            return false;
        };
        // A run whose end is listed, though held, had ended before the crash.
        let may_run = !matches!(attempt.phase, Phase::StopAnswered { .. } | Phase::Ended)
            && !self.workers[attempt.worker].holds_end_of(task, attempt.run);
        may_run && self.steps.contains_key(&task.step) && !self.is_cleared(attempt)
    }

    /// Whether a run may have crashed its worker as it started: the worker has not
    /// answered since then.
    pub(super) fn may_have_crashed_worker(&self, attempt: &Attempt) -> bool {
        let answered_at = self.workers[attempt.worker].answered_at.unwrap_or_default();
        answered_at <= attempt.started_at + STARTUP_CRASH_WINDOW
    }

    /// Whether a run has been listed for so long that a crash of its worker is
    /// no evidence against its task.
    pub(super) fn is_cleared(&self, attempt: &Attempt) -> bool {
        let answered_at = self.workers[attempt.worker].answered_at.unwrap_or_default();
        let running = matches!(attempt.phase, Phase::Running { .. });
        running && answered_at >= attempt.started_at + CLEARED_AFTER
    }

    /// Marks a lost run as ended and frees its capacity. Its task waits for the
    /// commit of the crash.
    fn end_lost_run(&mut self, crashed: &CrashedRun, reason: LossReason) {
        let task = crashed.task;
        let Some(attempt) = self.end_attempt(task) else {
            return;
        };
        let (key, run, crashes) = (attempt.worker, attempt.run, attempt.suspicion.crashes + 1);
        let worker = self.worker_name(key);
        self.log(Decision::Lost {
            task: task_name(task),
            run: run.0,
            worker,
            reason,
            crashes,
            evidence: Some(crashed.evidence),
        });
    }

    /// Handles committed crashes: the tasks of the lost runs may start again,
    /// unless the replicated state has ended their job.
    pub(super) fn handle_crashes_applied(&mut self, state: &ControlState, runs: &[CrashedRun]) {
        let mut jobs: IndexSet<JobId> = IndexSet::default();
        for CrashedRun { task, run, .. } in runs {
            jobs.insert(task.job());
            self.update_suspicions(state, task.step);
            self.settle_superseded_crash(*task, *run);
            let known = self.attempts.get(task);
            let waits = known.is_some_and(|a| a.run == *run && a.phase == Phase::Ended);
            if waits && let Some(attempt) = self.remove_attempt(*task) {
                self.requeue(*task, attempt.worker, attempt.checkpoint);
            }
        }
        for id in jobs {
            self.advance_job(state, id);
        }
    }
}

/// What a crash of a worker says about the runs that it had.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Duration,
    /// Whether a single run may have caused it.
    alone: bool,
    /// Whether the worker shares the cause with others that failed at the same moment.
    has_common_cause: bool,
}

impl Crash {
    /// A run that was lost in the crash, with the evidence against it. `confirmed` is whether
    /// the worker answered after the start for long enough to show that it survived that.
    fn crashed_run(self, task: TaskId, attempt: &Attempt, confirmed: bool) -> CrashedRun {
        CrashedRun {
            task,
            run: attempt.run,
            evidence: self.evidence(attempt, confirmed),
        }
    }

    fn evidence(self, attempt: &Attempt, confirmed: bool) -> CrashEvidence {
        let sudden = had_just_started(attempt, self.at);
        if self.has_common_cause && confirmed {
            return CrashEvidence::Inconclusive;
        }
        let alone = self.alone && !self.has_common_cause;
        match (has_started(attempt.phase), alone, sudden) {
            (false, ..) => CrashEvidence::StartUnanswered,
            (true, false, false) => CrashEvidence::Running,
            (true, false, true) => CrashEvidence::JustStarted,
            (true, true, false) => CrashEvidence::RunningAlone,
            (true, true, true) => CrashEvidence::JustStartedAlone,
        }
    }
}

/// Whether a run had started immediately before a crash at this time.
fn had_just_started(attempt: &Attempt, crashed_at: Duration) -> bool {
    crashed_at <= attempt.started_at + STARTUP_CRASH_WINDOW
}

/// Whether the worker has confirmed that the run started.
fn has_started(phase: Phase) -> bool {
    matches!(phase, Phase::Running { .. } | Phase::Stopping { .. })
}
