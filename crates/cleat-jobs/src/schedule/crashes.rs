//! Tasks under which workers crash.
//!
//! A crash does not tell which of the runs there caused it, or whether the machine
//! did. So the tasks of a crashed worker start again apart from each other, on other
//! machines, and with as little beside them as there is: then the next crash tells
//! more, and costs less (`isolation` has what must hold). Each crash is committed
//! before its tasks start again, so that the next owner knows of it; the state decides
//! when a task is given up.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::attempt::{Attempt, Phase};
use super::decision::{LifeOver, LossReason};
use super::step::ActiveStep;
use super::worker::{Worker, WorkerKey};
use super::{Decision, Scheduler};
use crate::state::{Command, ControlState, CrashEvidence, CrashedRun};
use crate::{JobId, TaskId};

/// How long a run has to be listed for its worker's crash to say nothing of its task:
/// tasks that last see many crashes of machines over the months.
const SOUND_AFTER: Duration = Duration::from_secs(10);
/// How soon after the start of a run its worker crashes where that speaks against it:
/// what crashes a worker mostly does so as it begins.
const SUDDEN: Duration = Duration::from_millis(100);
/// How long a machine on which a worker crashed is the last choice for a task that
/// may have been the cause.
const MACHINE_DOUBTED_FOR: Duration = Duration::from_secs(30);
/// How old the last sign of life of a worker may be on which a task starts that has to
/// have it to itself.
/// A renewal is answered after a second where nothing ends, so one turns up soon.
const SIGN_AGE: Duration = Duration::from_millis(100);

/// When a worker crashed last on each machine.
#[derive(Debug, Default)]
pub(crate) struct CrashedMachines(IndexMap<Box<str>, Duration>);

impl CrashedMachines {
    fn note(&mut self, machine: &str, now: Duration) {
        self.0.insert(machine.into(), now);
    }

    fn has(&self, worker: &Worker) -> bool {
        let machine = worker.record.machine.as_deref();
        machine.is_some_and(|machine| self.0.contains_key(machine))
    }

    /// Forgets what was long ago.
    pub(super) fn forget(&mut self, now: Duration) {
        self.0.retain(|_, at| now < *at + MACHINE_DOUBTED_FOR);
    }
}

/// Where a task goes under which workers have crashed; lower goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Apart {
    /// How many crashes the tasks there have seen.
    crashes: usize,
    machine_doubted: bool,
    /// What the next crash would cost.
    lasting: usize,
    runs: usize,
}

impl Scheduler {
    /// How well a worker keeps a task of the step apart from those that may crash it;
    /// for a task under which no worker has crashed, no more than that counts.
    pub(super) fn apart(&self, step: &ActiveStep, index: u32, worker: &Worker) -> Apart {
        let crashes = worker.crashes;
        if step.suspicion(index).crashes == 0 {
            return Apart {
                crashes,
                ..Apart::default()
            };
        }
        Apart {
            crashes,
            machine_doubted: self.crashed_machines.has(worker),
            lasting: worker.lasting,
            runs: worker.tasks.len(),
        }
    }

    /// Whether a worker is certain enough to be there for a task of the step: one that
    /// crashed a moment ago would leave the start in doubt and count against the task.
    /// A gang would wait for many such signs at once.
    pub(super) fn is_certain(&self, step: &ActiveStep, index: u32, worker: &Worker) -> bool {
        let heard_at = worker.heard_at.unwrap_or_default();
        let asked = !step.gang && step.suspicion(index).needs_isolation;
        !asked || self.now <= heard_at + SIGN_AGE
    }

    /// Whether a worker whose life is over crashed: nobody meant it to end.
    fn has_crashed(&self, key: WorkerKey, how: LifeOver) -> bool {
        let seen = matches!(how, LifeOver::Replaced | LifeOver::Absent);
        seen && !self.workers[key].draining && !self.was_ended_by_order(key)
    }

    /// Has the runs counted that a worker took along if it crashed. Their tasks wait
    /// until that is committed.
    pub(super) fn note_crash(&mut self, key: WorkerKey, how: LifeOver) {
        if !self.has_crashed(key, how) {
            return;
        }
        if let Some(machine) = &self.workers[key].record.machine {
            self.crashed_machines.note(machine, self.now);
        }
        let mut runs = std::mem::take(&mut self.workers[key].lapsed_runs);
        runs.extend(self.lose_suspects(key, LossReason::Crashed));
        self.propose_crashed(runs);
    }

    /// Has the runs counted of a worker whose lease is over: it may be cut off, but if
    /// it crashed that may never be known.
    pub(super) fn note_lapse(&mut self, key: WorkerKey) {
        let lapsed = self.lose_suspects(key, LossReason::Lapsed);
        self.workers[key].lapsed_runs = lapsed.clone();
        let lapsed = lapsed.into_iter().map(|run| CrashedRun {
            evidence: CrashEvidence::LeaseExpired,
            ..run
        });
        self.propose_crashed(lapsed.collect());
    }

    fn propose_crashed(&mut self, runs: Vec<CrashedRun>) {
        if !runs.is_empty() {
            self.propose(Command::Crashed { runs });
        }
    }

    /// Takes the runs of a worker as over that are about to be counted.
    fn lose_suspects(&mut self, key: WorkerKey, reason: LossReason) -> Vec<CrashedRun> {
        let suspects = self.suspects(key);
        let worker = &self.workers[key];
        let alone = suspects.len() == 1 && !worker.has_strays;
        let crashed_at = worker.doubted_since.unwrap_or(self.now);
        let mut runs = Vec::new();
        for task in suspects {
            let Some(attempt) = self.attempts.get(&task) else {
                continue;
            };
            let sudden = crashed_at <= attempt.began + SUDDEN;
            let evidence = match (has_begun(attempt.phase), alone, sudden) {
                (false, ..) => CrashEvidence::StartUnanswered,
                (true, false, false) => CrashEvidence::Running,
                (true, false, true) => CrashEvidence::JustStarted,
                (true, true, false) => CrashEvidence::RunningAlone,
                (true, true, true) => CrashEvidence::JustStartedAlone,
            };
            let run = attempt.run;
            runs.push(CrashedRun {
                task,
                run,
                evidence,
            });
            self.end_uncommitted(task, reason);
        }
        runs
    }

    /// The tasks of a worker that may have crashed it; none where crashes are not
    /// counted.
    fn suspects(&self, key: WorkerKey) -> Vec<TaskId> {
        let tasks = self.workers[key].tasks.iter().copied();
        let counted = |task: &TaskId| self.cfg.protections.count_crashes && self.is_suspect(*task);
        tasks.filter(counted).collect()
    }

    /// Whether the run may have begun and says something of its task.
    fn is_suspect(&self, task: TaskId) -> bool {
        let Some(attempt) = self.attempts.get(&task) else {
            return false;
        };
        let may_run = !matches!(attempt.phase, Phase::Closed { .. } | Phase::Ended);
        may_run && self.steps.contains_key(&task.step) && !self.is_sound(attempt)
    }

    /// Whether a run was at work for long.
    pub(super) fn is_sound(&self, attempt: &Attempt) -> bool {
        let heard_at = self.workers[attempt.worker].heard_at.unwrap_or_default();
        let running = matches!(attempt.phase, Phase::Running { .. });
        running && heard_at >= attempt.began + SOUND_AFTER
    }

    /// Frees the room of a run that is lost. Its task waits for a commit.
    fn end_uncommitted(&mut self, task: TaskId, reason: LossReason) {
        let Some(attempt) = self.end_attempt(task) else {
            return;
        };
        let (key, run, crashes) = (attempt.worker, attempt.run, attempt.suspicion.crashes + 1);
        let worker = self.worker_name(key);
        self.tell(Decision::Lost {
            task: task.to_string().into(),
            run: run.0,
            worker,
            reason,
            crashes,
        });
    }

    /// Crashes are in the replicated state: their tasks may start again, but for those
    /// that were given up.
    pub(super) fn crashes_applied(&mut self, state: &ControlState, runs: &[CrashedRun]) {
        let mut jobs: IndexSet<JobId> = IndexSet::new();
        for CrashedRun { task, run, .. } in runs {
            jobs.insert(task.job());
            self.note_suspects(state, task.step);
            let known = self.attempts.get(task);
            let waits = known.is_some_and(|a| a.run == *run && a.phase == Phase::Ended);
            if waits && let Some(attempt) = self.remove_attempt(*task) {
                self.requeue(*task, attempt.worker, attempt.checkpoint);
            }
        }
        for id in jobs {
            self.go_on(state, id);
        }
    }
}

/// Whether a worker said that the run is at work.
fn has_begun(phase: Phase) -> bool {
    matches!(phase, Phase::Running { .. } | Phase::Stopping { .. })
}
