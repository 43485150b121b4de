//! A simulated member: core, clock, disk and state machine.

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

/// Clock rates are in thousandths of real time.
const RATE_UNIT: u64 = 1000;

#[derive(Default)]
pub(super) struct Disk {
    pub(super) identity: Option<u64>,
    pub(super) hard_state: HardState,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) entries: Vec<Entry>,
    /// Writes that are not yet synced.
    pub(super) pending: VecDeque<Write>,
    /// Pending syncs, each with the number of writes that it covers.
    syncs: VecDeque<(SyncId, usize)>,
    /// When the running sync ends, and when the one after it ends.
    busy_until: Micros,
    next_sync_end: Micros,
}

impl Disk {
    pub(super) fn record_sync(&mut self, sync_id: SyncId) {
        let earlier: usize = self.syncs.iter().map(|(_, count)| count).sum();
        self.syncs
            .push_back((sync_id, self.pending.len() - earlier));
    }

    /// The time at which a sync requested now ends. All requests that arrive during
    /// a sync share the next one.
    pub(super) fn sync_end(&mut self, now: Micros, sync_duration: Micros) -> Micros {
        if now >= self.next_sync_end {
            self.busy_until = now + sync_duration;
            self.next_sync_end = self.busy_until;
        } else if now >= self.busy_until {
            self.busy_until = self.next_sync_end;
            self.next_sync_end += sync_duration;
        } else if self.next_sync_end == self.busy_until {
            self.next_sync_end += sync_duration;
        }
        self.next_sync_end
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
    pub(super) paused: bool,
    pub(super) backlog: Vec<Event>,
    /// Members whose messages don't reach this node.
    pub(super) blocked_inbound: BTreeSet<MemberId>,
    /// Members that messages from this node don't reach.
    pub(super) blocked_outbound: BTreeSet<MemberId>,
    pub(super) seen_commit: LogIndex,
    /// The state machine: a hash over all commands, and the index of the last
    /// one.
    pub(super) state_machine: (u64, LogIndex),
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
            paused: false,
            backlog: Vec::new(),
            blocked_inbound: BTreeSet::new(),
            blocked_outbound: BTreeSet::new(),
            seen_commit: 0,
            state_machine: (0, 0),
            // Any two clocks drift apart by less than the bound of five
            // percent.
            rate: rng.random_range(RATE_UNIT - 23..=RATE_UNIT + 23),
            offset: rng.random_range(0..1000 * super::SECOND),
        }
    }

    /// Returns this node's clock reading at a point in real time.
    pub(super) fn local_time(&self, now: Micros) -> Duration {
        duration(self.offset + now * self.rate / RATE_UNIT)
    }

    /// Returns the first point in real time at which the clock reads `local`.
    pub(super) fn real_time(&self, local: Duration) -> Micros {
        let micros = u64::try_from(local.as_micros()).expect("small");
        micros.saturating_sub(self.offset) * RATE_UNIT / self.rate + 1
    }

    /// Starts an incarnation from the content of the disk; a learner has no
    /// disk.
    pub(super) fn start(&mut self, new_identity: u64) -> Recovery {
        if !self.votes {
            self.disk = Disk::default();
        }
        self.incarnation += 1;
        self.state_machine = (0, 0);
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

    /// Ends the incarnation. Some of the unsynced writes may have reached the
    /// disk.
    pub(super) fn crash(&mut self, rng: &mut StdRng) {
        if self.core.take().is_some() {
            let committed = rng.random_range(0..=self.disk.pending.len());
            self.disk.persist(committed);
        }
        self.disk.pending.clear();
        self.disk.syncs.clear();
        self.disk.busy_until = 0;
        self.disk.next_sync_end = 0;
        self.paused = false;
        self.backlog.clear();
    }

    pub(super) fn apply(&mut self, index: LogIndex, command: &[u8]) {
        let mut hasher = DefaultHasher::new();
        (self.state_machine, index, command).hash(&mut hasher);
        self.state_machine = (hasher.finish(), index);
    }

    pub(super) fn snapshot(&self) -> Arc<[u8]> {
        let (hash, index) = self.state_machine;
        Arc::from([hash.to_le_bytes(), index.to_le_bytes()].concat())
    }

    pub(super) fn restore(&mut self, data: &[u8]) {
        let (hash, index) = data.split_at(size_of::<u64>());
        let number = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().expect("small"));
        self.state_machine = (number(hash), number(index));
    }
}
