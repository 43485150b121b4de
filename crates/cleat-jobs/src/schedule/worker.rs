//! The owner's view of the workers.

use std::collections::BTreeSet;
use std::ops::{Index, IndexMut};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::decision::LifeOver;
use crate::collections::{IndexMap, IndexSet};
use crate::state::{CrashedRun, TaskEnd, WorkerRecord, is_life_of, started_ms, worker_id};
use crate::{Size, TaskId};

/// The index of a worker in the arena. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct WorkerKey(u32);

/// The state of a worker, as the owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// It has not answered this owner, and may have runs of an earlier owner.
    Unseen,
    /// It answers the calls by which the owner renews its lease.
    Live,
    /// It does not answer. Its runs may continue until its lease expires.
    Silent,
    /// It does not answer and has no runs: its lease has expired, or it never
    /// had one.
    Lapsed,
    /// Its life is over.
    Gone,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) worker_ms: u64,
    /// When the reading arrived. The worker's clock shows at least `worker_ms`
    /// since then.
    pub(crate) at: Duration,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) record: WorkerRecord,
    pub(crate) state: WorkerState,
    /// When its process started, in milliseconds since the Unix epoch by its own clock, if
    /// that is known.
    pub(crate) started_ms: Option<u64>,
    /// Whether a later life of the worker sent a heartbeat. Answers to calls that are meant
    /// for this life are then those of the later one.
    pub(crate) is_superseded: bool,
    /// How this owner knows that its life is over.
    ///
    /// Invariant: `None` unless the state is `Gone`.
    pub(crate) life_over: Option<LifeOver>,
    /// Whether it reported that it is about to end. This is final: a heartbeat
    /// that says otherwise was delayed.
    pub(crate) draining: bool,
    /// Whether it reported that its life ends now. Its runs continue until they are
    /// stopped or the life has ended, so its lease is not extended any more.
    ///
    /// Invariant: implies `draining`.
    pub(crate) leaving: bool,
    /// The number of the latest heartbeat that was processed, by this owner or
    /// an earlier one.
    pub(crate) last_heartbeat_sequence: u64,
    /// Whether a heartbeat has reported its capacity since this owner took
    /// over, and since it was last silent.
    pub(crate) capacity_known: bool,
    pub(crate) clock: Option<ClockReading>,
    /// The latest end of its lease that may have been granted, on its own
    /// clock.
    pub(crate) max_lease_end_ms: u64,
    /// When it last answered a renewal.
    pub(crate) answered_at: Option<Duration>,
    /// The time between its last two answers; zero after the first.
    pub(crate) answered_after: Duration,
    /// Whether its runs take notably longer than those on other workers, and
    /// whether there is some evidence of that. Invariant: as estimated in
    /// `Scheduler::speeds`; `false` without the setting.
    pub(crate) slow: bool,
    pub(crate) suspected_slow: bool,
    /// When its last heartbeat arrived, or when this owner first learned of it.
    pub(crate) heartbeat_at: Duration,
    /// Since when renewals to it fail. Meanwhile its lease is not extended: a
    /// call without an answer may still arrive, and would postpone the time at
    /// which the lease has certainly expired.
    pub(crate) unanswered_since: Option<Duration>,
    /// When a renewal last failed that was sent and awaited without a stall of this owner.
    pub(crate) confirmed_silent_at: Option<Duration>,
    /// When this owner first saw that its lease was over without knowing it to be silent,
    /// since it last answered.
    pub(crate) lease_over_seen_at: Option<Duration>,
    /// Whether a renewal is in progress.
    pub(crate) renewing: bool,
    /// When the last renewal was sent.
    pub(crate) renewal_sent_at: Duration,
    /// When the next renewal is due, if none is in progress.
    ///
    /// Invariant: while none is, `Workers::renewals` has an entry for that time.
    renewal_due: Duration,
    /// The number of the last end that was proposed for commit. The worker
    /// numbers the ends of its runs from 1.
    pub(crate) last_proposed_end: u64,
    /// The number of the last end that is in the replicated state, and may be
    /// acknowledged.
    pub(crate) last_committed_end: u64,
    /// The number of the last end that was acknowledged by a renewal that the
    /// worker answered.
    pub(crate) last_acknowledged_end: u64,
    /// How long the worker may delay its answer to the last renewal.
    pub(crate) renewal_wait: Duration,
    /// Whether the last renewal acknowledged no ends, since another life could answer it.
    pub(crate) withheld_acknowledgement: bool,
    /// Whether its last answer was handled so late that its process may have started again
    /// since it was sent.
    pub(crate) answered_late: bool,
    /// The ends that it listed last and that are not proposed yet.
    ///
    /// Invariant: their numbers are above `last_proposed_end`.
    pub(crate) held_ends: Vec<TaskEnd>,
    /// The ends that it listed or that were applied while it had no record, with the time
    /// since which that is known. Their tasks wait until it lists them again and they are
    /// proposed, a later list lacks them, or its life ends.
    pub(crate) unrecorded_ends: Vec<(Duration, TaskEnd)>,
    /// Whether nothing is started here, since its machine has to become empty
    /// for a move or for maintenance.
    pub(crate) cordoned: bool,
    /// The number of its runs that run until they are cancelled.
    ///
    /// Invariant: at most the number of `tasks`.
    pub(crate) long_running: usize,
    /// The resources that these runs use.
    ///
    /// Invariant: included in `used`.
    pub(crate) used_by_long_running: Size,
    /// The number of its superseded runs, including those whose end is being
    /// committed. They are not among `tasks`.
    pub(crate) superseded_runs: usize,
    /// The sum of the crashes that count against its tasks.
    pub(crate) task_crashes: usize,
    /// The runs that it had when its lease expired and that may have crashed it,
    /// until it answers again. If it turns out to have crashed, they are recorded
    /// as crashed.
    pub(crate) lapsed_runs: Vec<CrashedRun>,
    /// Whether best-effort tasks run there beside tasks that serve users.
    pub(crate) colocated: bool,
    /// The names of its earlier lives whose records are removed once this one is recorded.
    pub(crate) earlier_records: Vec<Box<str>>,
    /// Whether the replicated state records that something may run here, and no
    /// proposal to the contrary is in progress.
    pub(crate) use_recorded: bool,
    /// The number of the latest activation for which this owner proposed a record that
    /// the worker is silent or that its lease expired; 0 if there is none.
    pub(crate) ended_activation: u32,
    /// Whether the record of its use is proposed and not yet applied.
    pub(crate) use_proposed: bool,
    /// When this owner first learned of it.
    pub(crate) known_since: Duration,
    /// When the list of machines was requested that first showed it as absent
    /// from its machine; `None` if the latest list does not show that.
    pub(crate) absent_since: Option<Duration>,
    /// Whether it has listed all its runs and ends to this owner.
    pub(crate) fully_listed: bool,
    /// Whether it lists runs that this owner does not expect there.
    pub(crate) has_strays: bool,
    /// The tasks of its known runs, including those whose end is being
    /// committed.
    pub(crate) tasks: IndexSet<TaskId>,
    /// The resources that its runs use, without strays and without runs whose
    /// end is being committed.
    pub(crate) used: Size,
    /// The resources that its strays use.
    ///
    /// Invariant: the sum of the footprints of its strays.
    pub(crate) used_by_strays: Size,
    /// The number of tasks whose first failure was here, since a run last
    /// completed here.
    pub(crate) failure_streak: u32,
    /// Until when nothing is started here, after failures or rejected starts.
    pub(crate) starts_paused_until: Duration,
}

impl Worker {
    fn new(record: WorkerRecord, now: Duration) -> Worker {
        Worker {
            last_committed_end: record.history.last_recorded_end,
            last_proposed_end: record.history.last_recorded_end,
            last_acknowledged_end: record.history.last_recorded_end,
            held_ends: Vec::new(),
            unrecorded_ends: Vec::new(),
            // `silent_index` is the log position at which it was recorded as
            // silent. After that, its use has to be recorded again before
            // anything is started here.
            use_recorded: record.history.may_have_runs && record.history.silent_index.is_none(),
            ended_activation: 0,
            use_proposed: false,
            known_since: now,
            cordoned: false,
            has_strays: false,
            absent_since: None,
            fully_listed: false,
            long_running: 0,
            used_by_long_running: Size::default(),
            superseded_runs: 0,
            task_crashes: 0,
            lapsed_runs: Vec::new(),
            colocated: false,
            tasks: IndexSet::default(),
            state: if record.history.may_have_runs {
                WorkerState::Unseen
            } else {
                WorkerState::Lapsed
            },
            last_heartbeat_sequence: record.history.capacity_sequence,
            capacity_known: false,
            started_ms: started_ms(&record.name),
            record,
            life_over: None,
            draining: false,
            leaving: false,
            clock: None,
            max_lease_end_ms: 0,
            answered_at: None,
            answered_after: Duration::ZERO,
            slow: false,
            suspected_slow: false,
            heartbeat_at: now,
            unanswered_since: None,
            confirmed_silent_at: None,
            lease_over_seen_at: None,
            renewing: false,
            renewal_sent_at: now,
            renewal_wait: Duration::ZERO,
            withheld_acknowledgement: false,
            answered_late: false,
            is_superseded: false,
            earlier_records: Vec::new(),
            renewal_due: now,
            used: Size::default(),
            used_by_strays: Size::default(),
            failure_streak: 0,
            starts_paused_until: Duration::ZERO,
        }
    }

    /// The free capacity.
    pub(crate) fn free_capacity(&self) -> Size {
        let used = self.used + self.used_by_strays;
        self.record.capacity.saturating_sub(used)
    }

    /// The capacity that is free once all runs that end by themselves have ended.
    pub(crate) fn reclaimable_capacity(&self) -> Size {
        let capacity = self.record.capacity;
        capacity.saturating_sub(self.used_by_long_running)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|have| **have == *label)
    }

    /// Whether it answers renewals, as far as is known.
    pub(crate) fn answers(&self) -> bool {
        self.state == WorkerState::Live && self.unanswered_since.is_none()
    }

    /// Whether tasks may be started here.
    pub(crate) fn accepts_work(&self, now: Duration) -> bool {
        let stays = !self.draining && !self.cordoned;
        self.answers() && self.use_recorded && stays && now >= self.starts_paused_until
    }

    /// Whether nothing runs here and all ends that it listed are recorded.
    pub(crate) fn is_vacated(&self) -> bool {
        let has_runs = !self.tasks.is_empty() || self.superseded_runs > 0 || self.has_strays;
        let has_open_ends = self.last_proposed_end > self.last_committed_end
            || !self.held_ends.is_empty()
            || !self.unrecorded_ends.is_empty();
        self.runs_are_known() && !has_runs && !has_open_ends
    }

    /// Whether it may have runs and does not answer.
    pub(crate) fn is_unreachable(&self) -> bool {
        matches!(self.state, WorkerState::Unseen | WorkerState::Silent)
    }

    /// Whether this owner knows all runs that earlier owners started here: the
    /// worker has listed all of them, or its lease has expired.
    pub(crate) fn runs_are_known(&self) -> bool {
        match self.state {
            WorkerState::Unseen => false,
            WorkerState::Live | WorkerState::Silent => self.fully_listed,
            WorkerState::Lapsed | WorkerState::Gone => true,
        }
    }

    /// The estimated time on its clock, if it was ever read.
    pub(crate) fn clock_ms(&self, now: Duration) -> Option<u64> {
        let reading = self.clock?;
        let since = now.saturating_sub(reading.at);
        Some(reading.worker_ms.saturating_add(millis(since)))
    }

    /// Whether its lease has certainly expired, even if its clock is slow.
    pub(crate) fn is_lease_expired(&self, now: Duration, drift_percent: u32) -> bool {
        let Some(reading) = self.clock else {
            return false;
        };
        let since = now.saturating_sub(reading.at) * (100 - drift_percent.min(99)) / 100;
        reading.worker_ms.saturating_add(millis(since)) > self.max_lease_end_ms
    }
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// All workers that this owner has known, by name and key.
#[derive(Debug, Default)]
pub(crate) struct Workers {
    arena: Vec<Worker>,
    by_name: IndexMap<Box<str>, WorkerKey>,
    /// The life of each worker id that started last, unless it was removed.
    by_id: IndexMap<Box<str>, WorkerKey>,
    /// The workers that are not removed. A worker's pool never changes.
    by_pool: IndexMap<Box<str>, IndexSet<WorkerKey>>,
    /// The latest life on each machine, unless it was removed.
    by_machine: IndexMap<Box<str>, WorkerKey>,
    /// When renewals are due, earliest first. An entry is outdated if its worker was
    /// removed, has a renewal in progress, or is due at another time.
    renewals: BTreeSet<(Duration, WorkerKey)>,
}

impl Workers {
    pub(crate) fn add(&mut self, record: WorkerRecord, now: Duration) -> WorkerKey {
        // A worker is one life of a process; far fewer than 2^32 are added in a
        // day.
        let key = WorkerKey(u32::try_from(self.arena.len()).unwrap_or(u32::MAX));
        self.by_name.insert(record.name.clone(), key);
        if !self.has_later_life(&record.name) {
            self.by_id.insert(worker_id(&record.name).into(), key);
        }
        let pool = self.by_pool.entry(record.pool.clone()).or_default();
        pool.insert(key);
        if let Some(machine) = &record.machine {
            self.by_machine.insert(machine.clone(), key);
        }
        self.arena.push(Worker::new(record, now));
        self.renewals.insert((now, key));
        key
    }

    /// Records that no renewal of a worker is in progress and that the next one is due at
    /// this time.
    pub(crate) fn schedule_renewal(&mut self, key: WorkerKey, at: Duration) {
        self[key].renewing = false;
        self.advance_renewal(key, at);
    }

    /// Has the next renewal of a worker sent at this time, unless one is in progress.
    pub(crate) fn advance_renewal(&mut self, key: WorkerKey, at: Duration) {
        self[key].renewal_due = at;
        self.renewals.insert((at, key));
    }

    /// Removes the workers whose renewal is due from the order of renewals, and returns
    /// them in the order of [`keys`](Self::keys).
    pub(crate) fn take_due_renewals(&mut self, now: Duration) -> Vec<WorkerKey> {
        let mut due: Vec<(usize, WorkerKey)> = Vec::new();
        while let Some(entry) = self.renewals.first().filter(|(at, _)| *at <= now) {
            let entry = *entry;
            self.renewals.remove(&entry);
            let (_, key) = entry;
            let worker = &self[key];
            if worker.renewing || worker.renewal_due > now {
                continue;
            }
            if let Some((index, _, known)) = self.by_name.get_full(&worker.record.name)
                && *known == key
            {
                due.push((index, key));
            }
        }
        due.sort_unstable();
        due.dedup();
        due.into_iter().map(|(_, key)| key).collect()
    }

    /// The worker with this name.
    pub(crate) fn key(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// The worker that the platform names: by its name, or by its id alone, which stands for
    /// the last life of the worker.
    pub(crate) fn named_by_platform(&self, name: &str) -> Option<WorkerKey> {
        self.key(name).or_else(|| self.by_id.get(name).copied())
    }

    /// The life that a heartbeat of this life is about: the one with its name, or one
    /// whose record has no time of its start, as earlier versions wrote it. The first
    /// heartbeat tells that time.
    pub(crate) fn life(&self, name: &str) -> Option<WorkerKey> {
        let started_ms = started_ms(name);
        let has_that_start = |key: &WorkerKey| {
            let known = self[*key].started_ms;
            known.is_none() || known == started_ms
        };
        let unnamed_start = || self.key(worker_id(name)).filter(has_that_start);
        self.key(name).or_else(unnamed_start)
    }

    /// Whether a later life of the same worker is known.
    pub(crate) fn has_later_life(&self, name: &str) -> bool {
        let last = self.by_id.get(worker_id(name));
        last.is_some_and(|last| self[*last].started_ms > started_ms(name))
    }

    /// Removes a worker from the indexes. Its key stays valid for entries that
    /// still refer to it.
    pub(crate) fn remove(&mut self, name: &str) -> Option<WorkerKey> {
        let key = self.by_name.swap_remove(name)?;
        self.remove_from_ids(name, key);
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

    /// Removes a life from the index by id. Another life of the worker takes its place.
    fn remove_from_ids(&mut self, name: &str, key: WorkerKey) {
        let id = worker_id(name);
        if self.by_id.get(id) != Some(&key) {
            return;
        }
        let mut others = self.by_name.iter();
        let other = others.find(|(other, _)| is_life_of(other, id));
        match other.map(|(_, other)| *other) {
            Some(other) => drop(self.by_id.insert(id.into(), other)),
            None => drop(self.by_id.swap_remove(id)),
        }
    }

    /// The worker that reports that it runs on a machine, if it may have runs
    /// there.
    pub(crate) fn on_machine(&self, machine: &str) -> Option<WorkerKey> {
        let key = *self.by_machine.get(machine)?;
        let has_no_runs = matches!(self[key].state, WorkerState::Lapsed | WorkerState::Gone);
        (!has_no_runs).then_some(key)
    }

    /// The workers of a pool that are not removed.
    pub(crate) fn in_pool(&self, pool: &str) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let keys = self.by_pool.get(pool).into_iter().flatten();
        keys.map(|key| (*key, &self[*key]))
    }

    /// The number of workers of a pool that are not removed.
    pub(crate) fn count_in_pool(&self, pool: &str) -> usize {
        self.by_pool.get(pool).map_or(0, IndexSet::len)
    }

    /// The pools that have had workers.
    pub(crate) fn pools(&self) -> impl Iterator<Item = &str> {
        self.by_pool.keys().map(|pool| &**pool)
    }

    /// The keys of the workers that are not removed.
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
