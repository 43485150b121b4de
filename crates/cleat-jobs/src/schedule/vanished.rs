//! Checks of a worker's list against what the owner knows: runs that are missing, and ends
//! whose numbers cannot be right.

use std::time::Duration;

use super::attempt::Phase;
use super::decision::{LossReason, StopReason};
use super::listed_runs::ListedRuns;
use super::log_names::task_name;
use super::worker::WorkerKey;
use super::{Decision, Scheduler};
use crate::TaskId;
use crate::state::TaskEnd;

impl Scheduler {
    /// Handles runs that are missing in a list that was requested after they
    /// were known to run, or should have started. `listed` are the runs and the
    /// ends in the list, whose renewal acknowledged the ends up to `acked`.
    pub(super) fn mark_vanished(
        &mut self,
        key: WorkerKey,
        sent_at: Duration,
        acked: u64,
        listed: &ListedRuns,
    ) {
        let missing = |task: &&TaskId| {
            let Some(attempt) = self.attempts.get(*task) else {
                return false;
            };
            let due = match attempt.phase {
                Phase::Running { known_at } => known_at < sent_at,
                Phase::StopAnswered { at: since } | Phase::Unanswered { since } => since < sent_at,
                _ => false,
            };
            due && !listed.contains(**task, attempt.run)
        };
        let tasks = self.workers[key].tasks.iter();
        let vanished: Vec<TaskId> = tasks.filter(missing).copied().collect();
        for task in vanished {
            let phase = self.attempts.get(&task).map(|attempt| attempt.phase);
            if matches!(phase, Some(Phase::Unanswered { .. })) {
                // The worker may still execute the start order.
                self.stop(task, StopReason::InDoubt);
            } else {
                self.log_missing_run(task, acked);
                self.mark_lost(task, LossReason::Vanished);
            }
        }
    }

    fn log_missing_run(&mut self, task: TaskId, acked: u64) {
        let Some(attempt) = self.attempts.get(&task) else {
            return;
        };
        let worker = &self.workers[attempt.worker];
        let decision = Decision::RunMissing {
            task: task_name(task),
            run: attempt.run.0,
            worker: worker.record.name.clone(),
            confirmed: matches!(attempt.phase, Phase::Running { .. }),
            acked,
            last_recorded_end: worker.last_committed_end,
        };
        self.log(decision);
    }

    /// Logs that a worker lists an end which its renewal acknowledged. A worker forgets such
    /// ends, so this one has the number of another end.
    pub(super) fn check_end_numbers(&mut self, key: WorkerKey, acked: u64, ended: &[TaskEnd]) {
        let Some(listed) = ended.iter().find(|end| end.number <= acked) else {
            return;
        };
        let decision = Decision::EndRenumbered {
            task: task_name(listed.end.task),
            run: listed.end.run.0,
            worker: self.worker_name(key),
            number: listed.number,
            acked,
        };
        self.log(decision);
    }
}
