//! A core with its clock, its disk and its state machine.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use cleat_quorum::{
    BOOTSTRAP_INDEX, Core, Entry, Event, HardState, LogIndex, MemberId, Recovery, Snapshot, SyncId,
    Write,
};
use rand::RngExt;
use rand::rngs::StdRng;

use super::{Micros, duration};

const RATE_UNIT: u64 = 1000;

#[derive(Default)]
pub(super) struct Disk {
    pub(super) identity: Option<u64>,
    pub(super) hard_state: HardState,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) entries: Vec<Entry>,
    /// Writes that are not synced.
    pub(super) pending: VecDeque<Write>,
    /// How many pending writes each sync under way covers.
    syncs: VecDeque<(SyncId, usize)>,
    /// When the sync under way ends, and when the one after it.
    busy_until: Micros,
    next_ends: Micros,
}

impl Disk {
    pub(super) fn mark_sync(&mut self, sync_id: SyncId) {
        let earlier: usize = self.syncs.iter().map(|(_, count)| count).sum();
        self.syncs
            .push_back((sync_id, self.pending.len() - earlier));
    }

    /// When a sync asked for now ends: all that wait for the disk share one.
    pub(super) fn sync_ends(&mut self, now: Micros, took: Micros) -> Micros {
        if now >= self.next_ends {
            self.busy_until = now + took;
            self.next_ends = self.busy_until;
        } else if now >= self.busy_until {
            self.busy_until = self.next_ends;
            self.next_ends += took;
        } else if self.next_ends == self.busy_until {
            self.next_ends += took;
        }
        self.next_ends
    }

    pub(super) fn finish_sync(&mut self, sync_id: SyncId) {
        while let Some((_, count)) = self.syncs.pop_front_if(|(t, _)| *t <= sync_id) {
            self.persist(count);
        }
    }

    pub(super) fn persist(&mut self, count: usize) {
        for _ in 0..count {
            if let Some(write) = self.pending.pop_front() {
                self.apply(write);
            }
        }
    }

    fn apply(&mut self, write: Write) {
        match write {
            Write::Append(entries) => self.entries.extend(entries),
            Write::TruncateFrom(index) => self.entries.retain(|entry| entry.index < index),
            Write::HardState(hard_state) => self.hard_state = hard_state,
            Write::Snapshot(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = Some(snapshot);
            }
        }
    }
}

pub(super) struct Node {
    pub(super) id: MemberId,
    pub(super) votes: bool,
    pub(super) core: Option<Core>,
    pub(super) disk: Disk,
    pub(super) incarnation: u64,
    pub(super) timer: u64,
    pub(super) frozen: bool,
    pub(super) backlog: Vec<Event>,
    /// The members whose messages do not arrive here.
    pub(super) cut_in: BTreeSet<MemberId>,
    /// The members that messages from here do not reach.
    pub(super) cut_out: BTreeSet<MemberId>,
    pub(super) seen_commit: LogIndex,
    /// The state machine: a hash over all commands, and the last of them.
    pub(super) machine: (u64, LogIndex),
    rate: u64,
    offset: Micros,
}

impl Node {
    pub(super) fn new(id: u32, votes: bool, rng: &mut StdRng) -> Node {
        Node {
            id: MemberId(id),
            votes,
            core: None,
            disk: Disk::default(),
            incarnation: 0,
            timer: 0,
            frozen: false,
            backlog: Vec::new(),
            cut_in: BTreeSet::new(),
            cut_out: BTreeSet::new(),
            seen_commit: 0,
            machine: (0, 0),
            // Two clocks differ by less than the bound of five percent.
            rate: rng.random_range(RATE_UNIT - 23..=RATE_UNIT + 23),
            offset: rng.random_range(0..1000 * super::SECOND),
        }
    }

    /// This node's clock at a moment of real time.
    pub(super) fn local(&self, now: Micros) -> Duration {
        duration(self.offset + now * self.rate / RATE_UNIT)
    }

    /// The first moment of real time at which the clock shows `local`.
    pub(super) fn real(&self, local: Duration) -> Micros {
        let micros = u64::try_from(local.as_micros()).expect("small");
        micros.saturating_sub(self.offset) * RATE_UNIT / self.rate + 1
    }

    /// Begins a incarnation with what is on the disk; a learner has none.
    pub(super) fn start(&mut self, new_identity: u64) -> Recovery {
        if !self.votes {
            self.disk = Disk::default();
        }
        self.incarnation += 1;
        self.machine = (0, 0);
        let identity = *self.disk.identity.get_or_insert(new_identity);
        if let Some(snapshot) = self
            .disk
            .snapshot
            .clone()
            .filter(|snapshot| snapshot.index > BOOTSTRAP_INDEX)
        {
            self.restore(&snapshot.data);
        }
        self.seen_commit = self
            .disk
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.index);
        Recovery {
            identity,
            hard_state: self.disk.hard_state,
            snapshot: self.disk.snapshot.clone(),
            entries: self.disk.entries.clone(),
        }
    }

    /// Ends the incarnation; some of the unsynced writes may be on the disk.
    pub(super) fn kill(&mut self, rng: &mut StdRng) {
        if self.core.take().is_some() {
            let kept = rng.random_range(0..=self.disk.pending.len());
            self.disk.persist(kept);
        }
        self.disk.pending.clear();
        self.disk.syncs.clear();
        self.disk.busy_until = 0;
        self.disk.next_ends = 0;
        self.frozen = false;
        self.backlog.clear();
    }

    pub(super) fn apply(&mut self, index: LogIndex, command: &[u8]) {
        let mut hasher = DefaultHasher::new();
        (self.machine, index, command).hash(&mut hasher);
        self.machine = (hasher.finish(), index);
    }

    pub(super) fn snapshot(&self) -> Arc<[u8]> {
        let (hash, index) = self.machine;
        Arc::from([hash.to_le_bytes(), index.to_le_bytes()].concat())
    }

    pub(super) fn restore(&mut self, data: &[u8]) {
        let (hash, index) = data.split_at(size_of::<u64>());
        let number = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("small"));
        self.machine = (number(hash), number(index));
    }
}
