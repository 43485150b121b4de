//! Workers that start again, on the same machine or under the same id.
//!
//! A new life knows nothing of the earlier one: it has no runs, and numbers its ends and
//! heartbeats from 1. If it has the id of the earlier life, it also executes orders that
//! were meant for that one. Whether it did is known from its first list.

use std::time::Duration;

use super::Scheduler;
use super::attempt::Phase;
use super::decision::{LifeOver, StopReason};
use super::event::RenewalAnswer;
use super::worker::{Worker, WorkerKey, millis};
use crate::collections::IndexSet;
use crate::state::{Command, WorkerHistory, WorkerRecord, is_life_of, worker_id};
use crate::{Run, TaskId};

impl Scheduler {
    /// Handles that a later life with the id of a worker answered a renewal that was meant
    /// for it. The later life is asked for its runs; its answer ends the earlier one.
    pub(super) fn handle_restart(&mut self, worker: &str, life: &str) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        self.renewal_failed(worker, false);
        if self.workers.key(life).is_none() {
            let record = WorkerRecord {
                name: life.into(),
                history: WorkerHistory::default(),
                ..self.workers[key].record.clone()
            };
            self.workers.add(record, self.now);
            self.fleet_changed = true;
            self.send_renewals();
        }
    }

    /// Ends the earlier lives of a worker that answered a renewal, and those on its
    /// machine. Only the lives that were known when the renewal was sent are certain to
    /// have ended.
    pub(super) fn end_earlier_lives(
        &mut self,
        key: WorkerKey,
        sent_at: Duration,
        answer: &RenewalAnswer,
    ) {
        let record = &self.workers[key].record;
        let (machine, id) = (record.machine.clone(), worker_id(&record.name));
        let is_earlier = |(other, worker): (WorkerKey, &Worker)| {
            let same_machine = machine.is_some() && worker.record.machine == machine;
            let same = same_machine || is_life_of(&worker.record.name, id);
            (other != key && same && worker.known_since <= sent_at).then_some(other)
        };
        let earlier: Vec<WorkerKey> = self.workers.iter().filter_map(is_earlier).collect();
        for other in earlier {
            if self.have_same_id(key, other) {
                self.move_starts(other, key, sent_at, answer);
                self.inherit_lease(other, key, answer.clock_ms);
                self.end_restarted_life(other, key);
            } else {
                self.end_life(other, LifeOver::Replaced);
            }
        }
    }

    /// Ends the earlier life of a worker. Its record is removed once the later life has one:
    /// a new owner has to know that the worker may run what was moved there.
    fn end_restarted_life(&mut self, earlier: WorkerKey, later: WorkerKey) {
        self.end_recorded_life(earlier, LifeOver::Restarted);
        let mut names = std::mem::take(&mut self.workers[earlier].earlier_records);
        names.push(self.worker_name(earlier));
        self.workers[later].earlier_records.extend(names);
        if self.workers[later].use_recorded {
            self.remove_earlier_records(later);
        }
    }

    /// Proposes the removal of the records of a worker's earlier lives.
    pub(super) fn remove_earlier_records(&mut self, key: WorkerKey) {
        let names = std::mem::take(&mut self.workers[key].earlier_records);
        if !names.is_empty() {
            self.propose(Command::RemoveWorkers { names });
        }
    }

    /// Proposes the removal of the record of a worker whose life is over, and of those of its
    /// earlier lives.
    pub(super) fn propose_removal(&mut self, key: WorkerKey) {
        let name = self.worker_name(key);
        self.workers[key].earlier_records.push(name);
        self.remove_earlier_records(key);
    }

    /// The number up to which the next renewal acknowledges the ends of a worker. Another
    /// life, which numbers its ends from 1 as well, may answer the first renewal of this
    /// owner, the one after a failure, and the one after an answer that was handled late. An
    /// owner that handles all answers late acknowledges by every other renewal.
    pub(super) fn choose_acknowledged_end(&mut self, key: WorkerKey) -> u64 {
        let worker = &mut self.workers[key];
        let may_have_restarted = worker.answered_late && !worker.withheld_acknowledgement;
        worker.withheld_acknowledgement = !worker.answers() || may_have_restarted;
        match worker.withheld_acknowledgement {
            true => 0,
            false => worker.last_committed_end,
        }
    }

    /// Handles the first heartbeat of a life: earlier lives of the worker are over. They end
    /// once the later life has listed its runs.
    pub(super) fn supersede_earlier_lives(&mut self, key: WorkerKey) {
        let started_ms = self.workers[key].started_ms;
        let is_earlier = |(other, worker): (WorkerKey, &Worker)| {
            let is_new = !worker.is_superseded && worker.started_ms < started_ms;
            (other != key && is_new && self.have_same_id(key, other)).then_some(other)
        };
        let earlier: Vec<WorkerKey> = self.workers.iter().filter_map(is_earlier).collect();
        for other in earlier {
            self.workers[other].is_superseded = true;
            let name = self.worker_name(other);
            self.renewal_failed(&name, false);
        }
    }

    /// Calls that were meant for the earlier life may have granted the later one a lease by
    /// the earlier one's clock, up to the longest that workers accept.
    fn inherit_lease(&mut self, earlier: WorkerKey, later: WorkerKey, clock_ms: u64) {
        let longest_ms = clock_ms + millis(self.cfg.max_accepted_lease);
        let granted_ms = self.workers[earlier].max_lease_end_ms.min(longest_ms);
        let worker = &mut self.workers[later];
        worker.max_lease_end_ms = worker.max_lease_end_ms.max(granted_ms);
    }

    fn have_same_id(&self, key: WorkerKey, other: WorkerKey) -> bool {
        let id = worker_id(&self.workers[key].record.name);
        is_life_of(&self.workers[other].record.name, id)
    }

    /// Moves the starts that the later life of a worker has executed, or may execute yet, to
    /// that life. `answer` is its answer to a renewal that was sent at `sent_at`.
    fn move_starts(
        &mut self,
        from: WorkerKey,
        to: WorkerKey,
        sent_at: Duration,
        answer: &RenewalAnswer,
    ) {
        let running = answer
            .running
            .iter()
            .map(|listed| (listed.task, listed.run));
        let ended = answer
            .ended
            .iter()
            .map(|listed| (listed.end.task, listed.end.run));
        let listed: IndexSet<(TaskId, Run)> = running.chain(ended).collect();
        let may_be_executed = |task: &&TaskId| {
            let Some(attempt) = self.attempts.get(*task) else {
                return false;
            };
            let is_open = match attempt.phase {
                Phase::Running { known_at } => known_at >= sent_at,
                Phase::Starting
                | Phase::Unanswered { .. }
                | Phase::InDoubt { .. }
                | Phase::StopAnswered { .. } => true,
                Phase::Stopping { .. } | Phase::Ended => false,
            };
            is_open || listed.contains(&(**task, attempt.run))
        };
        let tasks = self.workers[from].tasks.iter();
        let moved: Vec<TaskId> = tasks.filter(may_be_executed).copied().collect();
        for task in moved {
            self.move_start(task, to);
        }
    }

    /// Moves a run to the later life of its worker. If its start has no answer, it is
    /// stopped there, since its answer will not be related to that life.
    fn move_start(&mut self, task: TaskId, to: WorkerKey) {
        let Some(mut attempt) = self.remove_attempt(task) else {
            return;
        };
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.unassign(attempt.worker);
            step.assign(task.index, to);
        }
        attempt.worker = to;
        let is_in_doubt = matches!(
            attempt.phase,
            Phase::Starting
                | Phase::Unanswered { .. }
                | Phase::InDoubt { .. }
                | Phase::StopAnswered { .. }
        );
        if is_in_doubt {
            attempt.phase = Phase::Starting;
        }
        self.add_attempt(task, attempt);
        if is_in_doubt {
            self.stop(task, StopReason::InDoubt);
        }
    }
}
