//! Lease renewals, whose answers list a worker's runs and their ends.

use std::time::Duration;

use super::attempt::Phase;
use super::decision::{LifeOver, StopReason};
use super::event::{RenewalAnswer, RenewalOrder, RunningTask};
use super::listed_runs::ListedRuns;
use super::log_names::task_name;
use super::worker::{ClockReading, WorkerKey, WorkerState, millis};
use super::{Decision, Effect, Scheduler};
use crate::state::{Command, ControlState, End, EndKind, TaskEnd};
use crate::{Run, TaskId};

/// How long after a failed renewal the next one is sent. It is short compared
/// to the lease, and long compared to the duration of a call, which is some
/// milliseconds.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The delay after the first failure, which may just be a connection that was
/// reset.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The delay after a renewal that was not sent. The leadership is certain again after
/// some milliseconds, or lost.
const UNSENT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The delay for a worker whose lease has expired, so that it has no runs left
/// that could be lost. A heartbeat of the worker or its answer to an order makes
/// the renewal due earlier.
const LAPSED_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The maximum delay of the next renewal to a worker while the ends that it
/// listed are being committed, so that the renewal can acknowledge them. A
/// commit takes a disk sync (6 ms on the platform's disks) and a round trip
/// (2.8 ms). If it takes longer, a later renewal acknowledges them.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(100);
/// The delay of the next renewal to a worker one of whose ends is held until a
/// start is answered, which takes some milliseconds.
const HELD_END_DELAY: Duration = Duration::from_millis(20);
/// How long a worker may delay its answer while best-effort tasks run beside
/// tasks that serve users: the response times have to be checked more often
/// than runs end.
const COLOCATED_WAIT: Duration = Duration::from_millis(300);

/// How much longer than the worker may delay it the handling of an answer may take, until
/// the answer counts as late. Calls are given up after the same time.
const LATE_ANSWER: Duration = Duration::from_millis(500);

/// How long a worker may delay its answer while a stop of a run in doubt has no
/// answer. Once the stop is answered, the next list is requested within this
/// time. Each renewal costs processing time, so the wait is not shorter.
const IN_DOUBT_WAIT: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Sends the renewals that are due.
    pub(super) fn send_renewals(&mut self) {
        for key in self.workers.take_due_renewals(self.now) {
            self.send_renewal(key);
        }
    }

    fn send_renewal(&mut self, key: WorkerKey) {
        let lease = millis(self.cfg.lease);
        let now = self.now;
        let max_wait = self.max_answer_wait(key);
        let acked = self.choose_acknowledged_end(key);
        let worker = &mut self.workers[key];
        let colocated = worker.colocated;
        // The first renewal is answered at once, to learn the worker's clock
        // and runs.
        let ignore_silence = !self.cfg.protections.no_lease_when_silent;
        let clock_ms = worker
            .clock_ms(now)
            .filter(|_| worker.answers() || ignore_silence);
        let extended_to_ms = clock_ms.map(|clock| clock + lease);
        let deadline_ms = extended_to_ms.filter(|_| !worker.leaving);
        // A worker without runs may move to another pool once it has answered a
        // renewal that acknowledges its last ends. Delaying that answer would
        // cost up to a second for each move.
        let acknowledges_last_ends =
            worker.tasks.is_empty() && worker.last_committed_end > worker.last_acknowledged_end;
        let wait = match clock_ms {
            None => Duration::ZERO,
            Some(_) if acknowledges_last_ends => Duration::ZERO,
            Some(_) if colocated => COLOCATED_WAIT.min(max_wait),
            Some(_) => max_wait,
        };
        worker.max_lease_end_ms = worker.max_lease_end_ms.max(deadline_ms.unwrap_or_default());
        worker.renewing = true;
        worker.renewal_sent_at = now;
        worker.renewal_wait = wait;
        let order = RenewalOrder {
            token: self.owner.token,
            acked,
            deadline_ms,
            wait,
        };
        self.effects.push(Effect::Renew {
            worker: worker.record.name.clone(),
            address: worker.record.address.clone(),
            order,
        });
    }

    /// How long a worker may delay its answer, given the phases of its runs.
    /// After a start without an answer, the owner needs a list that was
    /// requested after the answer to its stop. A renewal may be in progress at
    /// that time, so without shorter waits the job would wait for two answers
    /// of up to a second each, more than the objectives of most jobs allow.
    fn max_answer_wait(&self, key: WorkerKey) -> Duration {
        let phases = self.workers[key].tasks.iter();
        let phases = phases.filter_map(|task| Some(self.attempts.get(task)?.phase));
        let wait = |phase| match phase {
            Phase::StopAnswered { .. } | Phase::Unanswered { .. } => Duration::ZERO,
            Phase::InDoubt { .. } => IN_DOUBT_WAIT,
            _ => self.cfg.renewal_wait,
        };
        phases.map(wait).min().unwrap_or(self.cfg.renewal_wait)
    }

    pub(super) fn handle_renewal_answer(
        &mut self,
        state: &ControlState,
        worker: &str,
        sent_at: Duration,
        acked: u64,
        answer: &RenewalAnswer,
    ) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        // The renewal was sent by an earlier owner, or to an earlier entry of that name.
        // Starts may have been executed since then that this owner does not know.
        if sent_at < self.workers[key].known_since {
            return;
        }
        if self.workers[key].is_superseded {
            return self.renewal_failed(worker, false);
        }
        if answer.fenced {
            self.workers
                .schedule_renewal(key, self.now + RENEWAL_RETRY_DELAY);
            return self.effects.push(Effect::Fenced {
                worker: worker.into(),
            });
        }
        if self.workers[key].state != WorkerState::Live {
            self.end_earlier_lives(key, sent_at, answer);
        }
        self.record_answer(key, sent_at, answer.clock_ms);
        self.record_use(state, key);
        self.check_end_numbers(key, acked, &answer.ended);
        let has_held_ends = self.handle_ends(state, key, &answer.ended);
        for listed in &answer.running {
            self.reconcile_run(state, key, listed);
        }
        self.adjust_throttle(state, key, &answer.running);
        if !answer.more_ended {
            // A run whose end is held counts as listed, so that the list shows
            // which runs are missing. Otherwise two workers could each hold an
            // end until the other one's list shows that a run is missing.
            let listed = ListedRuns::new(answer);
            self.mark_vanished(key, sent_at, acked, &listed);
            self.mark_superseded_vanished(key, sent_at, &listed);
            let is_kept = |since, number| {
                sent_at < since || answer.ended.iter().any(|end| end.number == number)
            };
            self.abandon_unrecorded_ends(key, is_kept);
        }
        self.release_strays(key, |task, run| {
            let mut running = answer.running.iter();
            running.any(|listed| (listed.task, listed.run) == (task, run))
        });
        let has_strays = self.strays.keys().any(|(at, ..)| *at == key);
        let now = self.now;
        let worker = &mut self.workers[key];
        worker.has_strays = has_strays;
        // The owner does not know the tasks of held ends yet.
        worker.fully_listed |= !answer.more_ended && !has_held_ends;
        worker.last_acknowledged_end = worker.last_acknowledged_end.max(acked);
        // The next renewal waits until it can acknowledge the ends that are
        // being committed.
        if worker.last_proposed_end > worker.last_committed_end {
            self.workers.schedule_renewal(key, now + MAX_COMMIT_WAIT);
        } else if has_held_ends {
            self.workers.schedule_renewal(key, now + HELD_END_DELAY);
        } else {
            self.send_renewal(key);
        }
    }

    /// Records that a worker answered, and its clock.
    fn record_answer(&mut self, key: WorkerKey, sent_at: Duration, clock_ms: u64) {
        let now = self.now;
        let lease = millis(self.cfg.lease);
        let worker = &mut self.workers[key];
        if worker.state == WorkerState::Unseen {
            // No earlier owner can have granted a lease beyond this.
            worker.max_lease_end_ms = worker.max_lease_end_ms.max(clock_ms + lease);
        }
        worker.clock = Some(ClockReading {
            worker_ms: clock_ms,
            at: now,
        });
        worker.answered_late = now > sent_at + worker.renewal_wait + LATE_ANSWER;
        let last_answer = worker.answered_at.replace(now);
        worker.answered_after = last_answer.map_or(Duration::ZERO, |last| now - last);
        let was_unanswered = worker.unanswered_since.take().is_some();
        worker.lease_over_seen_at = None;
        worker.lapsed_runs.clear();
        self.set_worker_state(key, WorkerState::Live);
        if was_unanswered {
            self.request_scheduling_for_worker(key);
        }
    }

    /// Proposes a record that a worker is in use, before anything is started
    /// there. After a takeover the next owner waits for the workers that are
    /// recorded.
    fn record_use(&mut self, state: &ControlState, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let known = state.workers.contains_key(&worker.record.name);
        worker.use_recorded |= known && !self.cfg.protections.record_use_before_start;
        if worker.use_recorded || worker.use_proposed {
            return;
        }
        worker.use_proposed = true;
        let record = worker.record.clone();
        self.propose(Command::AddWorker(record));
    }

    pub(super) fn set_worker_state(&mut self, key: WorkerKey, state: WorkerState) {
        let worker = &mut self.workers[key];
        if worker.state == state {
            return;
        }
        worker.state = state;
        let silent = worker
            .answered_at
            .map_or(Duration::ZERO, |at| self.now - at);
        let decision = Decision::Worker {
            worker: worker.record.name.clone(),
            pool: worker.record.pool.clone(),
            machine: worker.record.machine.clone(),
            address: worker.record.address.clone(),
            state,
            silent_ms: millis(silent),
            over: worker.life_over,
        };
        self.log(decision);
        self.request_scheduling_for_worker(key);
    }

    /// Frees the capacity of runs that ended, and proposes new ends for commit.
    /// Ends of a worker without a record would have no effect when applied; their
    /// tasks wait until the worker has one and lists them again. Returns whether an
    /// end is held, with all later ones of the worker, which are committed in their
    /// order, or whether ends wait for the record.
    pub(super) fn handle_ends(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        ended: &[TaskEnd],
    ) -> bool {
        if !state.workers.contains_key(&self.workers[key].record.name) {
            self.add_unrecorded_ends(key, ended);
            return !ended.is_empty();
        }
        let is_listed = |number| ended.iter().any(|end| end.number == number);
        let unrecorded = &mut self.workers[key].unrecorded_ends;
        unrecorded.retain(|(_, known)| !is_listed(known.number));
        let proposed = self.workers[key].last_proposed_end;
        let new = ended.iter().filter(|end| end.number > proposed);
        let ends: Vec<TaskEnd> = new
            .clone()
            .take_while(|end| !self.is_end_held(key, &end.end))
            .cloned()
            .collect();
        let held: Vec<TaskEnd> = new.skip(ends.len()).cloned().collect();
        let has_held_ends = !held.is_empty();
        self.await_held_ends(key, &held);
        self.workers[key].held_ends = held;
        let Some(last) = ends.last() else {
            return has_held_ends;
        };
        self.workers[key].last_proposed_end = last.number;
        for end in &ends {
            self.handle_end(state, key, end);
            self.awaited_ends.add(&end.end);
        }
        let worker = self.worker_name(key);
        self.propose(Command::RecordEnds {
            worker,
            after: proposed,
            ends,
        });
        self.request_scheduling_for_worker(key);
        has_held_ends
    }

    fn handle_end(&mut self, state: &ControlState, key: WorkerKey, listed: &TaskEnd) {
        let end = &listed.end;
        if self.handle_superseded_end(state, key, end) {
            return;
        }
        self.drop_superseded(end.task, end.run);
        let Some(attempt) = self.attempts.get_mut(&end.task) else {
            return self.await_inherited_end(key, end);
        };
        if !attempt.uses_capacity() && end.kind == EndKind::Done && end.run < attempt.run {
            // The task had been completed by a run that had counted as lost.
            // That run determines the result of the task, not the crash of the
            // later run, whose commit is in progress.
            attempt.run = end.run;
        }
        if !attempt.uses_capacity() {
            return;
        }
        if attempt.worker != key || attempt.run != end.run {
            return self.await_second_end(key, end);
        }
        if !end.checkpoint.is_empty() {
            attempt.checkpoint = end.checkpoint.clone();
        }
        let started_at = attempt.started_at;
        self.end_attempt(end.task);
        self.record_listed_end(state, key, end, started_at);
        if end.kind != EndKind::Stopped {
            self.log_copy_outcome(end.task, end.kind == EndKind::Done);
        }
    }

    /// Logs the end of a run and records its duration.
    pub(super) fn record_listed_end(
        &mut self,
        state: &ControlState,
        key: WorkerKey,
        end: &End,
        started_at: Duration,
    ) {
        self.record_job_started(end.task.job());
        let worker = self.worker_name(key);
        self.log(Decision::Ended {
            task: task_name(end.task),
            run: end.run.0,
            worker,
            kind: end.kind,
            ran_ms: millis(self.now - started_at),
        });
        if end.kind == EndKind::Done {
            self.workers[key].failure_streak = 0;
            self.observe_duration(state, end, self.now.saturating_sub(started_at));
        }
    }

    /// Records the duration of a run for its queue. Runs that resumed from a
    /// checkpoint are included: they distort the expected durations, but are
    /// rare. Runs on slow workers are not, since they say nothing about the
    /// queue. With the statistics of an earlier owner, its runs are left out:
    /// only the time since the takeover is known, and the restored durations
    /// would be shortened by it.
    fn observe_duration(&mut self, state: &ControlState, end: &End, ran: Duration) {
        if !self.observe_end(end.task, end.run, ran) {
            return;
        }
        if self.carry_over.restored && !self.has_started_task(end.task) {
            return;
        }
        let Some(job) = state.jobs.get(&end.task.job()) else {
            return;
        };
        if let Some(spec) = job.step(end.task.step) {
            self.workload
                .observe_duration(&job.queue.name, spec.estimate_ms, ran);
        }
    }

    /// Reconciles a run that a worker lists with the known run of its task.
    fn reconcile_run(&mut self, state: &ControlState, key: WorkerKey, listed: &RunningTask) {
        let now = self.now;
        if self.reconcile_superseded(key, listed) {
            return;
        }
        self.drop_superseded(listed.task, listed.run);
        if let Some(attempt) = self.attempts.get_mut(&listed.task)
            && attempt.worker == key
            && attempt.run == listed.run
        {
            if !listed.checkpoint.is_empty() {
                attempt.checkpoint = listed.checkpoint.clone();
            }
            attempt.at_full_speed = listed.percent >= 100;
            if matches!(attempt.phase, Phase::Starting | Phase::Unanswered { .. }) {
                attempt.phase = Phase::Running { known_at: now };
            }
            return self.record_job_started(listed.task.job());
        }
        if !self.adopt_run(state, key, listed) && !self.adopt_superseded(state, key, listed) {
            self.stop_stray(state, key, listed.task, listed.run);
        }
    }

    pub(super) fn renewal_failed(&mut self, worker: &str, other_life: bool) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        if other_life {
            return self.end_life(key, LifeOver::Replaced);
        }
        self.record_failed_renewal(key);
        let now = self.now;
        let worker = &mut self.workers[key];
        let first = worker.unanswered_since.is_none();
        worker.unanswered_since.get_or_insert(now);
        let delay = match worker.state {
            WorkerState::Lapsed => LAPSED_RETRY_DELAY,
            _ if first => FIRST_RETRY_DELAY,
            _ => RENEWAL_RETRY_DELAY,
        };
        self.workers.schedule_renewal(key, now + delay);
    }

    /// Sends a renewal at once to a worker that left the last one unanswered and has
    /// shown since that it runs: it may have ended what its lease would lose.
    pub(super) fn ask_if_unanswered(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        if !worker.answers() && !worker.renewing {
            self.workers.schedule_renewal(key, self.now);
            self.send_renewals();
        }
    }

    /// Handles a renewal that was not sent. It says nothing about the worker.
    pub(super) fn renewal_not_sent(&mut self, worker: &str) {
        if let Some(key) = self.workers.key(worker) {
            self.workers
                .schedule_renewal(key, self.now + UNSENT_RETRY_DELAY);
        }
    }

    fn stop_stray(&mut self, state: &ControlState, key: WorkerKey, task: TaskId, run: Run) {
        if !self.cfg.protections.stop_strays {
            return;
        }
        match self.strays.get_mut(&(key, task, run)) {
            Some(stray) if self.now < stray.sent_at + RENEWAL_RETRY_DELAY => return,
            Some(stray) => stray.sent_at = self.now,
            None => self.add_stray(state, (key, task, run)),
        }
        self.send_stop(key, task, run, StopReason::Stray);
    }
}
