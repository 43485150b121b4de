//! Which connections hold how much, and which has to go when that is too much.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::sync::Notify;

/// Once something is full, this part of it is freed at once, so that the connections are
/// looked through once for many requests.
const FREED_SHARE: usize = 16;
/// Requests that hold more than this are large, and leave the rest of the memory to small
/// ones.
const LARGE_BYTES: usize = 32 * 1_024;
/// The part of the memory that large requests leave to small ones, as a divisor.
const SMALL_SHARE: usize = 4;

/// One connection. Keys are not used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionKey(u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No request has begun.
    Idle,
    /// A head arrives.
    Head,
    /// A body arrives and is read.
    Body,
    /// A request is handled or its answer is sent.
    Active,
}

/// How a connection is told to go.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    /// Close it.
    pub(crate) close: Notify,
    /// Answer that the request is refused, and close it then.
    pub(crate) refuse: Notify,
}

#[derive(Debug)]
struct Slot {
    phase: Phase,
    /// Whether its client does not read an answer.
    is_unread: bool,
    /// Grows with each connection, request and end of a request. The lowest one has gone
    /// without a whole request for longest.
    since: u64,
    held: usize,
    is_evicted: bool,
    signals: Arc<Signals>,
}

impl Slot {
    /// Whether it waits for its client, which may take as long as it likes. What waits for
    /// this process is not evicted: its request may already have had an effect.
    fn waits_for_client(&self) -> bool {
        !self.is_evicted && (self.phase != Phase::Active || self.is_unread)
    }

    fn evict(&mut self) {
        self.is_evicted = true;
        match self.phase {
            Phase::Body => self.signals.refuse.notify_one(),
            Phase::Idle | Phase::Head | Phase::Active => self.signals.close.notify_one(),
        }
    }
}

/// The connections of clients to a process.
///
/// Invariants: `held` is at least the sum of what the slots hold, and more only by what has
/// outlasted its connection; `leaving` is the part of evicted slots in it.
#[derive(Debug)]
pub(crate) struct Table {
    bytes: usize,
    connections: usize,
    held: usize,
    leaving: usize,
    order: u64,
    slots: IndexMap<ConnectionKey, Slot>,
}

/// What came of a request for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Holding {
    Held,
    /// There will be room once what was evicted is released.
    Wait,
    /// Nothing more can be evicted.
    Full,
}

impl Table {
    pub(crate) fn new(bytes: usize, connections: usize) -> Table {
        Table {
            bytes,
            connections,
            held: 0,
            leaving: 0,
            order: 0,
            slots: IndexMap::new(),
        }
    }

    /// Adds a connection if there is a place for it. If not, those that have gone without a whole
    /// request for longest are evicted. The result also tells how many were.
    pub(crate) fn admit(&mut self, signals: &Arc<Signals>) -> (Option<ConnectionKey>, usize) {
        match self.slots.len() < self.connections {
            true => (Some(self.add_connection(signals)), 0),
            false => (None, self.evict_connections()),
        }
    }

    /// Adds a connection, however many there are.
    pub(crate) fn add_connection(&mut self, signals: &Arc<Signals>) -> ConnectionKey {
        let since = self.next_order();
        let key = ConnectionKey(since);
        let slot = Slot {
            phase: Phase::Idle,
            is_unread: false,
            since,
            held: 0,
            is_evicted: false,
            signals: signals.clone(),
        };
        self.slots.insert(key, slot);
        key
    }

    pub(crate) fn remove(&mut self, key: ConnectionKey) {
        if let Some(slot) = self.slots.swap_remove(&key)
            && slot.is_evicted
        {
            self.leaving -= slot.held;
        }
    }

    /// Begins a phase. A request counts from its first byte, so only the end of one and the
    /// begin of a head are progress.
    pub(crate) fn set_phase(&mut self, key: ConnectionKey, phase: Phase) {
        let order = self.next_order();
        if let Some(slot) = self.slots.get_mut(&key) {
            if matches!(phase, Phase::Idle | Phase::Head) {
                slot.since = order;
            }
            slot.phase = phase;
        }
    }

    pub(crate) fn set_unread(&mut self, key: ConnectionKey, is_unread: bool) {
        if let Some(slot) = self.slots.get_mut(&key) {
            slot.is_unread = is_unread;
        }
    }

    /// Whether the connection has to go.
    pub(crate) fn is_evicted(&self, key: ConnectionKey) -> bool {
        self.slots.get(&key).is_some_and(|slot| slot.is_evicted)
    }

    /// Counts `bytes` more for a connection, if they fit; else others are evicted to make
    /// room. The result also tells how many were.
    pub(crate) fn hold(&mut self, key: ConnectionKey, bytes: usize) -> (Holding, usize) {
        let own = self.slots.get(&key).map_or(0, |slot| slot.held);
        let limit = self.limit(own + bytes);
        if self.is_evicted(key) {
            return (Holding::Full, 0);
        }
        if self.held + bytes <= limit {
            self.add(key, bytes);
            return (Holding::Held, 0);
        }
        let mut evicted = 0;
        if self.staying() + bytes > limit {
            evicted = self.evict_bytes(key, self.staying() + bytes - limit);
        }
        let holding = match self.staying() + bytes <= limit {
            true => Holding::Wait,
            false => Holding::Full,
        };
        (holding, evicted)
    }

    /// Counts `bytes` more whether they fit or not.
    pub(crate) fn add(&mut self, key: ConnectionKey, bytes: usize) {
        self.held += bytes;
        if let Some(slot) = self.slots.get_mut(&key) {
            slot.held += bytes;
            if slot.is_evicted {
                self.leaving += bytes;
            }
        }
    }

    pub(crate) fn release(&mut self, key: ConnectionKey, bytes: usize) {
        self.held -= bytes;
        if let Some(slot) = self.slots.get_mut(&key) {
            slot.held -= bytes;
            if slot.is_evicted {
                self.leaving -= bytes;
            }
        }
    }

    /// How many bytes are held.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// How many connections are open.
    pub(crate) fn open(&self) -> usize {
        self.slots.len()
    }

    /// What a request that holds `bytes` may bring the sum to.
    fn limit(&self, bytes: usize) -> usize {
        match bytes > LARGE_BYTES {
            true => self.bytes - self.bytes / SMALL_SHARE,
            false => self.bytes,
        }
    }

    /// What is held by connections that are not about to go.
    fn staying(&self) -> usize {
        self.held - self.leaving
    }

    fn evict_connections(&mut self) -> usize {
        let wanted = (self.connections / FREED_SHARE).max(1);
        let waiting = self.slots.values().filter(|slot| slot.is_evicted).count();
        if waiting >= wanted {
            return 0;
        }
        let oldest = self.oldest(|_, slot| slot.waits_for_client());
        let oldest = oldest.into_iter().take(wanted - waiting);
        oldest.map(|key| self.evict(key)).count()
    }

    /// Evicts connections until `missing` bytes are free, and some more.
    fn evict_bytes(&mut self, asking: ConnectionKey, missing: usize) -> usize {
        let mut missing = missing.max(self.bytes / FREED_SHARE);
        let may_go = |key: &ConnectionKey, slot: &Slot| {
            *key != asking && slot.held > 0 && slot.waits_for_client()
        };
        let mut evicted = 0;
        for key in self.oldest(may_go) {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(self.evict(key));
            evicted += 1;
        }
        evicted
    }

    /// Tells a connection to go; the bytes that it holds.
    fn evict(&mut self, key: ConnectionKey) -> usize {
        let Some(slot) = self.slots.get_mut(&key) else {
            return 0;
        };
        slot.evict();
        self.leaving += slot.held;
        slot.held
    }

    /// The connections that may go, the one first that has gone without a request for longest.
    fn oldest(&self, may_go: impl Fn(&ConnectionKey, &Slot) -> bool) -> Vec<ConnectionKey> {
        let slots = self.slots.iter().filter(|(key, slot)| may_go(key, slot));
        let mut slots: Vec<_> = slots.map(|(key, slot)| (slot.since, *key)).collect();
        slots.sort_unstable_by_key(|(since, _)| *since);
        slots.into_iter().map(|(_, key)| key).collect()
    }

    fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }
}
