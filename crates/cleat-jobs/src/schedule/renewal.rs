//! Renewals: how a worker goes on, and how its owner learns of ends.

use std::time::Duration;

use indexmap::IndexSet;

use super::attempt::Phase;
use super::decision::{LifeOver, LossReason, StopReason};
use super::event::{RenewalAnswer, RenewalOrder, RunningTask};
use super::worker::{ClockReading, WorkerKey, WorkerState, millis};
use super::{Decision, Effect, Scheduler};
use crate::state::{Command, ControlState, End, EndKind, TaskEnd};
use crate::{Run, TaskId};

/// How long after a failed renewal the next one is sent. Short against the
/// lease, long against the time of a call (some milliseconds).
const RENEWAL_RETRY: Duration = Duration::from_millis(300);
/// The same after the first failure: a connection may have been reset.
const FIRST_RETRY: Duration = Duration::from_millis(20);
/// The same for a worker without a lease, where nothing runs that could be
/// lost. A heartbeat of it brings the renewal forward.
const LAPSED_RETRY: Duration = Duration::from_secs(2);
/// How long the next renewal waits for the commit of ends at most. A commit
/// takes a sync (6 ms on the platform's disks) and a round trip (2.8 ms); a
/// renewal that comes later acknowledges them as well.
const COMMIT_LIMIT: Duration = Duration::from_millis(100);
/// How long a renewal waits where work fills beside work that serves: the tails
/// have to be looked at more often than ends come.
const SHARING_WAIT: Duration = Duration::from_millis(300);

/// The same while a stop has no answer: once it has, the next list is asked for
/// this soon. Each costs a look at the worker.
const DOUBT_WAIT: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Sends a renewal to each worker for which one is due.
    pub(super) fn send_renewals(&mut self) {
        for key in self.workers.keys() {
            let worker = &self.workers[key];
            if !worker.renewing && worker.renewal_due <= self.now {
                self.send_renewal(key);
            }
        }
    }

    fn send_renewal(&mut self, key: WorkerKey) {
        let lease = millis(self.cfg.lease);
        let now = self.now;
        let longest = self.longest_wait(key);
        let worker = &mut self.workers[key];
        let shares = worker.shares;
        // The first call learns the clock, and the runs, at once.
        let blind = !self.cfg.protections.no_lease_when_silent;
        let known = worker.clock_ms(now).filter(|_| worker.answers() || blind);
        let deadline_ms = known.map(|clock| clock + lease);
        // An empty worker may move once its last ends are acknowledged for
        // certain; waiting for that answer would cost up to a second a move.
        let empties = worker.tasks.is_empty() && worker.acked > worker.confirmed;
        let wait = match deadline_ms {
            None => Duration::ZERO,
            Some(_) if empties => Duration::ZERO,
            Some(_) if shares => SHARING_WAIT.min(longest),
            Some(_) => longest,
        };
        worker.granted_ms = worker.granted_ms.max(deadline_ms.unwrap_or_default());
        worker.renewing = true;
        let order = RenewalOrder {
            token: self.owner.token,
            acked: worker.acked,
            deadline_ms,
            wait,
        };
        self.effects.push(Effect::Renew {
            worker: worker.record.name.clone(),
            address: worker.record.address.clone(),
            order,
        });
    }

    /// How long a worker's answer may wait for an end, by what is not known of
    /// its runs. A start without an answer costs its job a list after that of its
    /// stop: two waits of up to a second each, more than most jobs have to spare.
    fn longest_wait(&self, key: WorkerKey) -> Duration {
        let phases = self.workers[key].tasks.iter();
        let phases = phases.filter_map(|task| Some(self.attempts.get(task)?.phase));
        let wait = |phase| match phase {
            Phase::Closed { .. } | Phase::Unanswered { .. } => Duration::ZERO,
            Phase::InDoubt { .. } => DOUBT_WAIT,
            _ => self.cfg.renewal_wait,
        };
        phases.map(wait).min().unwrap_or(self.cfg.renewal_wait)
    }

    pub(super) fn renewal_answered(
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
        if answer.fenced {
            self.workers[key].renewing = false;
            self.workers[key].renewal_due = self.now + RENEWAL_RETRY;
            return self.effects.push(Effect::Fenced {
                worker: worker.into(),
            });
        }
        if self.workers[key].state != WorkerState::Live {
            self.end_earlier_lives(key, sent_at);
        }
        self.hear(key, answer.clock_ms);
        self.record_use(state, key);
        self.take_ends(state, key, &answer.ended);
        let listed: IndexSet<(TaskId, Run)> = answer
            .running
            .iter()
            .map(|listed| (listed.task, listed.run))
            .collect();
        for listed in &answer.running {
            self.take_listed(state, key, listed);
        }
        self.pace(state, key, &answer.running);
        if !answer.more_ended {
            self.find_vanished(key, sent_at, &listed);
        }
        self.release_strays(key, |task, run| listed.contains(&(task, run)));
        let has_strays = self.strays.keys().any(|(at, ..)| *at == key);
        let now = self.now;
        let worker = &mut self.workers[key];
        worker.has_strays = has_strays;
        worker.listed_whole |= !answer.more_ended;
        worker.confirmed = worker.confirmed.max(acked);
        worker.renewing = false;
        // The next renewal acknowledges what is being committed.
        if worker.proposed > worker.acked {
            worker.renewal_due = now + COMMIT_LIMIT;
        } else {
            self.send_renewal(key);
        }
    }

    /// Notes that a worker answered, with its clock.
    fn hear(&mut self, key: WorkerKey, clock_ms: u64) {
        let now = self.now;
        let lease = millis(self.cfg.lease);
        let worker = &mut self.workers[key];
        if worker.state == WorkerState::Unseen {
            // An earlier owner can't have granted more than this.
            worker.granted_ms = worker.granted_ms.max(clock_ms + lease);
        }
        worker.clock = Some(ClockReading {
            worker_ms: clock_ms,
            at: now,
        });
        worker.heard_at = Some(now);
        worker.doubted_since = None;
        worker.lapsed_runs.clear();
        self.believe(key, WorkerState::Live);
    }

    /// Has it recorded that a worker is in use, before anything is started
    /// there: the next owner waits for the workers that are in use.
    fn record_use(&mut self, state: &ControlState, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let known = state.workers.contains_key(&worker.record.name);
        worker.recorded |= known && !self.cfg.protections.record_use_before_start;
        if worker.recorded || worker.recording {
            return;
        }
        worker.recording = true;
        let record = worker.record.clone();
        self.propose(Command::AddWorker(record));
    }

    pub(super) fn believe(&mut self, key: WorkerKey, state: WorkerState) {
        let worker = &mut self.workers[key];
        if worker.state == state {
            return;
        }
        worker.state = state;
        let silent = worker.heard_at.map_or(Duration::ZERO, |at| self.now - at);
        let decision = Decision::Worker {
            worker: worker.record.name.clone(),
            pool: worker.record.pool.clone(),
            machine: worker.record.machine.clone(),
            address: worker.record.address.clone(),
            state,
            silent_ms: millis(silent),
            over: worker.over,
        };
        self.tell(decision);
        self.unsettle_pool_of(key);
    }

    /// Frees the room of what ended, and has new ends committed. The ends of
    /// a worker without a record would count for nothing; it lists them again.
    fn take_ends(&mut self, state: &ControlState, key: WorkerKey, ended: &[TaskEnd]) {
        if !state.workers.contains_key(&self.workers[key].record.name) {
            return;
        }
        let proposed = self.workers[key].proposed;
        let ends: Vec<TaskEnd> = ended
            .iter()
            .filter(|end| end.number > proposed)
            .cloned()
            .collect();
        let Some(last) = ends.last() else {
            return;
        };
        self.workers[key].proposed = last.number;
        for end in &ends {
            self.take_end(state, key, end);
        }
        let worker = self.worker_name(key);
        self.propose(Command::RecordEnds {
            worker,
            after: proposed,
            ends,
        });
        self.unsettle_pool_of(key);
    }

    fn take_end(&mut self, state: &ControlState, key: WorkerKey, listed: &TaskEnd) {
        let end = &listed.end;
        self.supersede(end.task, end.run);
        let Some(attempt) = self.attempts.get_mut(&end.task) else {
            return self.await_inherited_end(key, end);
        };
        if !attempt.holds_room() && end.kind == EndKind::Done && end.run < attempt.run {
            // A run that was taken as lost had done the task before. That decides what
            // becomes of it, not the crash of the run after that is being committed.
            attempt.run = end.run;
        }
        if attempt.worker != key || attempt.run != end.run || !attempt.holds_room() {
            return;
        }
        if !end.checkpoint.is_empty() {
            attempt.checkpoint = end.checkpoint.clone();
        }
        let began = attempt.began;
        self.end_attempt(end.task);
        self.note_begun(end.task.job());
        let worker = self.worker_name(key);
        self.tell(Decision::Ended {
            task: end.task.to_string().into(),
            run: end.run.0,
            worker,
            kind: end.kind,
            ran_ms: millis(self.now - began),
        });
        if end.kind == EndKind::Done {
            self.workers[key].failed_jobs = 0;
            self.observe_duration(state, end, self.now.saturating_sub(began));
        }
    }

    /// Learns from a run how long its queue's tasks take. One that resumed
    /// from a checkpoint says little, but few do.
    fn observe_duration(&mut self, state: &ControlState, end: &End, ran: Duration) {
        let Some(job) = state.jobs.get(&end.task.job()) else {
            return;
        };
        if let Some(spec) = job.step(end.task.step) {
            self.times
                .observe_duration(&job.queue.name, spec.estimate_ms, ran);
        }
    }

    /// Compares a run that a worker lists with what is known of its task.
    fn take_listed(&mut self, state: &ControlState, key: WorkerKey, listed: &RunningTask) {
        let now = self.now;
        self.supersede(listed.task, listed.run);
        if let Some(attempt) = self.attempts.get_mut(&listed.task)
            && attempt.worker == key
            && attempt.run == listed.run
        {
            if !listed.checkpoint.is_empty() {
                attempt.checkpoint = listed.checkpoint.clone();
            }
            attempt.at_work = listed.percent >= 100;
            if matches!(attempt.phase, Phase::Starting | Phase::Unanswered { .. }) {
                attempt.phase = Phase::Running { known_at: now };
            }
            return self.note_begun(listed.task.job());
        }
        if !self.adopt(state, key, listed) {
            self.stop_stray(state, key, listed.task, listed.run);
        }
    }

    /// Finds runs that a list does not name, though it was asked for after they
    /// were known, or should have begun.
    fn find_vanished(
        &mut self,
        key: WorkerKey,
        sent_at: Duration,
        listed: &IndexSet<(TaskId, Run)>,
    ) {
        let missing = |task: &&TaskId| {
            let Some(attempt) = self.attempts.get(*task) else {
                return false;
            };
            let due = match attempt.phase {
                Phase::Running { known_at } => known_at < sent_at,
                Phase::Closed { at: since } | Phase::Unanswered { since } => since < sent_at,
                _ => false,
            };
            due && !listed.contains(&(**task, attempt.run))
        };
        let tasks = self.workers[key].tasks.iter();
        let vanished: Vec<TaskId> = tasks.filter(missing).copied().collect();
        for task in vanished {
            let phase = self.attempts.get(&task).map(|attempt| attempt.phase);
            if matches!(phase, Some(Phase::Unanswered { .. })) {
                // Its start may still be carried out.
                self.stop(task, StopReason::InDoubt);
            } else {
                self.lose(task, LossReason::Vanished);
            }
        }
    }

    pub(super) fn renewal_failed(&mut self, worker: &str, other_life: bool) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        if other_life {
            return self.life_over(key, LifeOver::Replaced);
        }
        let now = self.now;
        let worker = &mut self.workers[key];
        worker.renewing = false;
        let first = worker.doubted_since.is_none();
        worker.doubted_since.get_or_insert(now);
        worker.renewal_due = now
            + match worker.state {
                WorkerState::Lapsed => LAPSED_RETRY,
                _ if first => FIRST_RETRY,
                _ => RENEWAL_RETRY,
            };
    }

    fn stop_stray(&mut self, state: &ControlState, key: WorkerKey, task: TaskId, run: Run) {
        if !self.cfg.protections.stop_strays {
            return;
        }
        match self.strays.get_mut(&(key, task, run)) {
            Some(stray) if self.now < stray.sent_at + RENEWAL_RETRY => return,
            Some(stray) => stray.sent_at = self.now,
            None => self.add_stray(state, (key, task, run)),
        }
        self.send_stop(key, task, run, StopReason::Stray);
    }
}
