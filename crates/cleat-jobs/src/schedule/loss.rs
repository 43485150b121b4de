//! Detection of unresponsive workers, and runs that are lost without a listed
//! end.

use std::time::Duration;

use super::decision::{LifeOver, LossReason};
use super::log_names::task_name;
use super::worker::{WorkerKey, WorkerState};
use super::{Decision, Scheduler};
use crate::TaskId;
use crate::state::{Command, ControlState};

/// How long renewals to a worker may fail before it counts as silent.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(800);

impl Scheduler {
    /// Detects workers that became silent, whose lease expired, or that never
    /// came back.
    pub(super) fn watch_workers(&mut self, state: &ControlState) {
        for key in self.workers.keys() {
            if !self.workers[key].answers() && !self.workers[key].held_ends.is_empty() {
                self.propose_released_ends(state, key);
            }
            let known_state = self.workers[key].state;
            match known_state {
                WorkerState::Unseen if self.is_inherited_lease_over(key) => {
                    self.expire_lease(state, key);
                }
                WorkerState::Live if self.is_silent(key) => self.mark_silent(state, key),
                WorkerState::Silent if self.workers[key].leaving && self.is_lease_over(key) => {
                    self.end_life(key, LifeOver::Left);
                }
                WorkerState::Silent if self.is_lease_over(key) => {
                    self.expire_lease(state, key);
                    self.record_lapse(key);
                    self.mark_all_lost(key, LossReason::Lapsed);
                }
                WorkerState::Lapsed if self.is_abandoned(key) => {
                    self.end_life(key, LifeOver::Forgotten);
                }
                _ => {}
            }
        }
    }

    /// Marks a worker as silent. No task is started there until the record of
    /// its use is committed again, so that the next owner knows that no task
    /// which became ready in between runs there.
    fn mark_silent(&mut self, state: &ControlState, key: WorkerKey) {
        self.set_worker_state(key, WorkerState::Silent);
        if let Some((name, token, activations)) = self.clear_use_record(state, key) {
            self.propose(Command::WorkerSilent {
                name,
                token,
                activations,
            });
        }
    }

    /// Marks a worker as not recorded for use. Returns its name, this owner's
    /// token and the number of activations, which the command that commits this
    /// has to contain; `None` if the replicated state does not know the worker.
    fn clear_use_record(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
    ) -> Option<(Box<str>, u64, u32)> {
        let worker = &mut self.workers[key];
        worker.use_recorded = false;
        worker.capacity_known = false;
        let name = worker.record.name.clone();
        let activations = state.workers.get(&name)?.history.activations;
        worker.ended_activation = worker.ended_activation.max(activations);
        Some((name, self.owner.token, activations))
    }

    /// Handles the expiry of a worker's lease. It is committed for the next
    /// owner; otherwise each pool with such a worker would start nothing for
    /// another lease after a takeover.
    fn expire_lease(&mut self, state: &ControlState, key: WorkerKey) {
        self.set_worker_state(key, WorkerState::Lapsed);
        if let Some((name, token, activations)) = self.clear_use_record(state, key) {
            self.propose(Command::WorkerLapsed {
                name,
                token,
                activations,
            });
        }
    }

    /// Whether the leases have expired that earlier owners granted to a worker.
    fn is_inherited_lease_over(&mut self, key: WorkerKey) -> bool {
        let over_at = self.taken_over_at + self.inherited_lease_limit();
        self.counts_as_expired(key, self.now > over_at)
    }

    /// How long after a takeover all leases of earlier owners have expired. The
    /// last of them were granted before the takeover, by calls that may have
    /// been delayed.
    fn inherited_lease_limit(&self) -> Duration {
        self.cfg.max_lease_duration() + SILENT_AFTER
    }

    /// Whether the lease of a silent worker has expired.
    fn is_lease_over(&mut self, key: WorkerKey) -> bool {
        let drift = self.cfg.max_clock_drift_percent;
        let is_over = self.workers[key].is_lease_expired(self.now, drift);
        let lapsed = self.counts_as_expired(key, is_over);
        lapsed || !self.cfg.protections.await_lease_expiry
    }

    /// Whether a worker without a lease has neither answered nor sent
    /// heartbeats for so long that it counts as gone. Otherwise the record of
    /// each crashed worker would be kept, and renewals would be sent to it,
    /// forever. Ended jobs are removed after the same time.
    fn is_abandoned(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        let last_contact = worker
            .heartbeat_at
            .max(worker.answered_at.unwrap_or_default());
        self.now > last_contact + self.cfg.ended_job_retention
    }

    fn is_silent(&self, key: WorkerKey) -> bool {
        let unanswered_since = self.workers[key].unanswered_since;
        unanswered_since.is_some_and(|since| self.now > since + SILENT_AFTER)
    }

    /// Marks a worker's life as over, and its runs as lost.
    pub(super) fn end_life(&mut self, key: WorkerKey, how: LifeOver) {
        self.end_recorded_life(key, how);
        self.propose_removal(key);
    }

    /// As [`Self::end_life`], without the removal of the worker's record.
    pub(super) fn end_recorded_life(&mut self, key: WorkerKey, how: LifeOver) {
        self.workers[key].life_over = Some(how);
        self.set_worker_state(key, WorkerState::Gone);
        self.propose_held_ends(key);
        self.record_crash(key, how);
        // Those that are left will not be committed, so their runs are lost.
        self.workers[key].held_ends.clear();
        self.abandon_unrecorded_ends(key, |_, _| false);
        self.mark_all_lost(key, LossReason::WorkerGone);
        let name = self.worker_name(key);
        self.workers.remove(&name);
        self.fleet_shrunk = true;
    }

    /// Marks the runs of a worker as lost whose end it has not listed.
    pub(super) fn mark_all_lost(&mut self, key: WorkerKey, reason: LossReason) {
        self.release_strays(key, |_, _| false);
        self.lose_all_superseded(key, reason);
        let worker = &self.workers[key];
        let active = |task: &&TaskId| {
            let attempt = self.attempts.get(*task);
            attempt.is_some_and(|attempt| {
                attempt.uses_capacity() && !worker.holds_end_of(**task, attempt.run)
            })
        };
        let lost: Vec<TaskId> = worker.tasks.iter().filter(active).copied().collect();
        for task in lost {
            self.mark_lost(task, reason);
        }
    }

    /// Marks a run as lost. Its task may be started again.
    pub(super) fn mark_lost(&mut self, task: TaskId, reason: LossReason) {
        let Some(attempt) = self.remove_attempt(task) else {
            return;
        };
        let key = attempt.worker;
        let worker = self.worker_name(key);
        self.log(Decision::Lost {
            task: task_name(task),
            run: attempt.run.0,
            worker,
            reason,
            crashes: attempt.suspicion.crashes,
            evidence: None,
        });
        self.requeue(task, key, attempt.checkpoint);
    }

    /// Returns a task to the pending tasks of its step, if the step is active
    /// and the task is not done. If the task has a superseded run, that becomes
    /// its run again instead. If an end of the task is being committed, the task
    /// is queued once that is applied.
    pub(super) fn requeue(&mut self, task: TaskId, from: WorkerKey, checkpoint: Box<str>) {
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.unassign(from);
            self.unpark_step(task.step);
        }
        if let Some(step) = self.steps.get_mut(&task.step) {
            if step.done.contains(&task.index) {
                return;
            }
            step.store_checkpoint(task.index, checkpoint);
            if self.resume_superseded(task) {
                return;
            }
            self.queue_unless_running(task);
        }
    }
}
