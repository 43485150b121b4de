//! The owner's view of one worker.

use std::ops::{Index, IndexMut};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::decision::LifeOver;
use crate::state::{CrashedRun, WorkerRecord};
use crate::{Size, TaskId};

/// A worker of the arena. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct WorkerKey(u32);

/// What a worker is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// It has not answered this owner; an earlier owner's runs may be there.
    Unseen,
    /// It answers.
    Live,
    /// It does not answer; what runs there may go on until its lease is over.
    Silent,
    /// It does not answer and nothing runs there: its lease is over, or it
    /// has never had one.
    Lapsed,
    /// Its life is over.
    Gone,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) worker_ms: u64,
    /// When it arrived; the worker's clock shows at least `worker_ms` since.
    pub(crate) at: Duration,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) record: WorkerRecord,
    pub(crate) state: WorkerState,
    /// How it is known that its life is over.
    ///
    /// Invariant: none unless the state is `Gone`.
    pub(crate) over: Option<LifeOver>,
    /// Whether it said that it is about to end. It does not take that back: what
    /// says otherwise was held up on its way.
    pub(crate) draining: bool,
    /// The latest heartbeat that was taken, by this owner or an earlier one.
    pub(crate) last_sequence: u64,
    /// Whether a heartbeat told its capacity since it last answered nothing, or since
    /// this owner took over.
    pub(crate) sized: bool,
    pub(crate) clock: Option<ClockReading>,
    /// The latest end of its lease that was ever sent, on its own clock.
    pub(crate) granted_ms: u64,
    /// When it last answered.
    pub(crate) heard_at: Option<Duration>,
    /// When its last heartbeat came, or this owner first knew of it.
    pub(crate) beat_at: Duration,
    /// Since when it leaves renewals unanswered. Meanwhile its lease is not
    /// extended, since calls without an answer may arrive all the same and
    /// would put off the moment at which its lease is over for certain.
    pub(crate) doubted_since: Option<Duration>,
    /// Whether a renewal is under way.
    pub(crate) renewing: bool,
    /// When the next renewal is due while none is under way.
    pub(crate) renewal_due: Duration,
    /// Ends up to this number were proposed.
    pub(crate) proposed: u64,
    /// Ends up to this number are in the replicated state.
    pub(crate) acked: u64,
    /// The last renewal that was answered acknowledged ends up to this number.
    pub(crate) confirmed: u64,
    /// Whether nothing is started here, since its machine is to go elsewhere.
    pub(crate) cordoned: bool,
    /// How many of its runs go on until they are cancelled.
    ///
    /// Invariant: at most as many as `tasks`.
    pub(crate) lasting: usize,
    /// How many workers have crashed under its tasks, added up.
    pub(crate) crashes: usize,
    /// What it had when its lease ran out, until it answers again.
    pub(crate) lapsed_runs: Vec<CrashedRun>,
    /// Whether work fills there beside work that serves.
    pub(crate) shares: bool,
    /// Whether the replicated state says that something may run here, and
    /// nothing to the contrary is on its way.
    pub(crate) recorded: bool,
    /// Whether the record of its use was proposed and is not applied yet.
    pub(crate) recording: bool,
    /// Since when this owner has known of it.
    pub(crate) known_since: Duration,
    /// When the first of the lists of machines was asked for that, without a
    /// break, say that it is not on its machine.
    pub(crate) absent_since: Option<Duration>,
    /// Whether it has listed all its runs and ends to this owner.
    pub(crate) listed_whole: bool,
    /// Whether it lists runs that should not be there.
    pub(crate) has_strays: bool,
    /// The tasks of the runs that it is known to have, those included whose
    /// end is being committed.
    pub(crate) tasks: IndexSet<TaskId>,
    /// What its runs take up.
    pub(crate) used: Size,
    /// What its runs take up that should not be there.
    ///
    /// Invariant: the sum of the footprints of its strays.
    pub(crate) used_by_strays: Size,
    /// How many jobs in a row have failed here for the first time.
    pub(crate) failed_jobs: u32,
    /// Until when nothing is started here, since it failed too much.
    pub(crate) shunned_until: Duration,
}

impl Worker {
    fn new(record: WorkerRecord, now: Duration) -> Worker {
        Worker {
            acked: record.history.last_recorded_end,
            proposed: record.history.last_recorded_end,
            confirmed: record.history.last_recorded_end,
            recorded: record.history.may_have_runs && record.history.silent_index.is_none(),
            recording: false,
            known_since: now,
            cordoned: false,
            has_strays: false,
            absent_since: None,
            listed_whole: false,
            lasting: 0,
            crashes: 0,
            lapsed_runs: Vec::new(),
            shares: false,
            tasks: IndexSet::new(),
            state: if record.history.may_have_runs {
                WorkerState::Unseen
            } else {
                WorkerState::Lapsed
            },
            last_sequence: record.history.capacity_sequence,
            sized: false,
            record,
            over: None,
            draining: false,
            clock: None,
            granted_ms: 0,
            heard_at: None,
            beat_at: now,
            doubted_since: None,
            renewing: false,
            renewal_due: now,
            used: Size::default(),
            used_by_strays: Size::default(),
            failed_jobs: 0,
            shunned_until: Duration::ZERO,
        }
    }

    /// What is free.
    pub(crate) fn room(&self) -> Size {
        let used = self.used + self.used_by_strays;
        self.record.capacity.saturating_sub(used)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|have| **have == *label)
    }

    /// Whether it answers, as far as is known.
    pub(crate) fn answers(&self) -> bool {
        self.state == WorkerState::Live && self.doubted_since.is_none()
    }

    /// Whether work may be started here.
    pub(crate) fn takes_work(&self, now: Duration) -> bool {
        let stays = !self.draining && !self.cordoned;
        self.answers() && self.recorded && stays && now >= self.shunned_until
    }

    /// Whether it may run something and does not answer.
    pub(crate) fn is_out_of_reach(&self) -> bool {
        matches!(self.state, WorkerState::Unseen | WorkerState::Silent)
    }

    /// Whether nothing that an earlier owner started here can be unknown: it
    /// listed all of it, or its lease is over.
    pub(crate) fn is_known(&self) -> bool {
        match self.state {
            WorkerState::Unseen => false,
            WorkerState::Live | WorkerState::Silent => self.listed_whole,
            WorkerState::Lapsed | WorkerState::Gone => true,
        }
    }

    /// What its clock shows by now, as far as is known.
    pub(crate) fn clock_ms(&self, now: Duration) -> Option<u64> {
        let reading = self.clock?;
        let since = now.saturating_sub(reading.at);
        Some(reading.worker_ms.saturating_add(millis(since)))
    }

    /// Whether its clock shows, for certain, that its lease is over.
    pub(crate) fn is_lapsed(&self, now: Duration, drift_percent: u32) -> bool {
        let Some(reading) = self.clock else {
            return false;
        };
        let since = now.saturating_sub(reading.at) * (100 - drift_percent.min(99)) / 100;
        reading.worker_ms.saturating_add(millis(since)) > self.granted_ms
    }
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// All workers of this owner's time, by name and key.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    arena: Vec<Worker>,
    by_name: IndexMap<Box<str>, WorkerKey>,
    /// Those that are not removed. A worker's pool never changes.
    by_pool: IndexMap<Box<str>, IndexSet<WorkerKey>>,
    /// The latest life on each machine, unless it is removed.
    by_machine: IndexMap<Box<str>, WorkerKey>,
}

impl Workers {
    pub(crate) fn add(&mut self, record: WorkerRecord, now: Duration) -> WorkerKey {
        // A worker is a life of a process; far fewer than 2^32 come in a day.
        let key = WorkerKey(u32::try_from(self.arena.len()).unwrap_or(u32::MAX));
        self.by_name.insert(record.name.clone(), key);
        let pool = self.by_pool.entry(record.pool.clone()).or_default();
        pool.insert(key);
        if let Some(machine) = &record.machine {
            self.by_machine.insert(machine.clone(), key);
        }
        self.arena.push(Worker::new(record, now));
        key
    }

    pub(crate) fn key(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// Forgets the name; the key stays valid for what still refers to it.
    pub(crate) fn remove(&mut self, name: &str) -> Option<WorkerKey> {
        let key = self.by_name.swap_remove(name)?;
        let record = &self.arena[key.0 as usize].record;
        if let Some(pool) = self.by_pool.get_mut(&record.pool) {
            pool.shift_remove(&key);
        }
        if let Some(machine) = record.machine.as_deref()
            && self.by_machine.get(machine) == Some(&key)
        {
            self.by_machine.swap_remove(machine);
        }
        Some(key)
    }

    /// The worker that says that it runs on a machine, if something may run
    /// there.
    pub(crate) fn on_machine(&self, machine: &str) -> Option<WorkerKey> {
        let key = *self.by_machine.get(machine)?;
        let over = matches!(self[key].state, WorkerState::Lapsed | WorkerState::Gone);
        (!over).then_some(key)
    }

    /// The workers of a pool that are not removed.
    pub(crate) fn in_pool(&self, pool: &str) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let keys = self.by_pool.get(pool).into_iter().flatten();
        keys.map(|key| (*key, &self[*key]))
    }

    /// The workers that are not removed.
    pub(crate) fn keys(&self) -> Vec<WorkerKey> {
        self.by_name.values().copied().collect()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.by_name.values().map(|key| (*key, &self[*key]))
    }
}

impl Index<WorkerKey> for Workers {
    type Output = Worker;

    fn index(&self, key: WorkerKey) -> &Worker {
        &self.arena[key.0 as usize]
    }
}

impl IndexMut<WorkerKey> for Workers {
    fn index_mut(&mut self, key: WorkerKey) -> &mut Worker {
        &mut self.arena[key.0 as usize]
    }
}
