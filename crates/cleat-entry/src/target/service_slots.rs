//! The slots of a service's targets, lent between entries by demand.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cleat_decide::{EntryIndex, LeaseTerms, Message, Outgoing, TargetKey};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{SlotToken, TargetSlots};
use crate::config::EntryConfig;

/// How long requests can be started on a borrowed slot.
const SLOT_LEASE: Duration = Duration::from_secs(2);
/// How long a borrowed slot may be idle before it is returned.
const IDLE_SLOT_TIMEOUT: Duration = Duration::from_millis(20);

/// A message to another entry about slots. Messages may be lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotMessage {
    /// The name of the receiving entry.
    pub to: Box<str>,
    /// The service that the slots belong to.
    pub service: Box<str>,
    /// The message to the slot logic of that entry.
    pub message: Message,
}

/// Lends and borrows the slots of one service.
#[derive(Debug)]
pub(crate) struct ServiceSlots {
    service: Box<str>,
    /// The names of all entries. Positions in this list identify entries in the
    /// decision logic.
    entries: Box<[Box<str>]>,
    /// The zero point of the clock used for decisions.
    epoch: Instant,
    outbox: mpsc::Sender<SlotMessage>,
    /// Locked for decisions only. The lock of the service may be held while
    /// this one is taken, but not the other way round.
    state: Mutex<SlotState>,
}

#[derive(Debug)]
struct SlotState {
    slots: cleat_decide::Slots,
    /// The number of usable slots, by key of the target.
    usable: Vec<Arc<AtomicU32>>,
}

impl ServiceSlots {
    pub(crate) fn new(
        service: &str,
        cfg: &EntryConfig,
        max_request_duration: Duration,
        epoch: Instant,
        outbox: mpsc::Sender<SlotMessage>,
    ) -> ServiceSlots {
        let terms = LeaseTerms {
            lease: SLOT_LEASE,
            max_request_duration,
            idle_timeout: IDLE_SLOT_TIMEOUT,
        };
        let own_index = cfg.entries.iter().position(|name| *name == cfg.name);
        let own_index = EntryIndex(index(own_index.unwrap_or(usize::MAX)));
        // Requests of earlier incarnations started before this one, and thus
        // before the epoch. The decision logic counts from the epoch how long
        // they may still run.
        let slots = cleat_decide::Slots::new(
            own_index,
            cfg.incarnation,
            &cfg.entries,
            terms,
            Duration::ZERO,
        );
        ServiceSlots {
            service: service.into(),
            entries: cfg.entries.clone().into(),
            epoch,
            outbox,
            state: Mutex::new(SlotState {
                slots,
                usable: Vec::new(),
            }),
        }
    }

    /// See [`cleat_decide::Slots::set_max_request_duration`].
    pub(crate) fn set_max_request_duration(&self, max_request_duration: Duration) {
        self.lock()
            .slots
            .set_max_request_duration(max_request_duration);
    }

    /// Adds a target that is new to this service or had been removed. See
    /// [`cleat_decide::Slots::set_target`] for `fresh`.
    pub(crate) fn add_target(self: &Arc<Self>, name: &str, cap: u32, fresh: bool) -> TargetSlots {
        let mut state = self.lock();
        let key = state.slots.set_target(name, cap, fresh);
        let position = key.0 as usize;
        while state.usable.len() <= position {
            state.usable.push(Arc::default());
        }
        let usable = Arc::clone(&state.usable[position]);
        state.refresh_usable(self.now());
        TargetSlots::new(Arc::clone(self), key, usable)
    }

    /// Changes the cap of a target, which is the smaller of its slots and
    /// connections.
    pub(crate) fn set_cap(&self, name: &str, cap: u32, fresh: bool) {
        let mut state = self.lock();
        state.slots.set_target(name, cap, fresh);
        state.refresh_usable(self.now());
    }

    /// See [`cleat_decide::Slots::withhold_home_slots`].
    pub(crate) fn withhold_home_slots(&self, key: TargetKey) {
        let mut state = self.lock();
        state.slots.withhold_home_slots(key, self.now());
        state.refresh_usable(self.now());
    }

    /// Stops new requests to the target.
    pub(crate) fn remove_target(&self, name: &str) {
        let mut state = self.lock();
        state.slots.remove_target(name);
        state.refresh_usable(self.now());
    }

    pub(super) fn acquire(&self, key: TargetKey) -> Option<SlotToken> {
        let mut state = self.lock();
        let slot = state.slots.acquire(key, self.now())?;
        let start_deadline = state.slots.start_deadline(slot);
        let start_deadline = start_deadline.map(|start_deadline| self.epoch + start_deadline);
        Some(SlotToken {
            slot,
            start_deadline,
        })
    }

    pub(super) fn release(&self, token: SlotToken) {
        let now = self.now();
        self.lock().slots.release(token.slot, now);
    }

    /// Asks other entries for slots for `count` waiting requests.
    pub(crate) fn request_slots(&self, count: u32) {
        if count == 0 {
            return;
        }
        let now = self.now();
        let out = self.lock().slots.request_slots(count, now);
        self.send(out);
    }

    /// Handles a message from the entry `from`.
    pub(crate) fn handle_message(&self, from: &str, message: Message) {
        let Some(from) = self.entries.iter().position(|name| **name == *from) else {
            return;
        };
        let now = self.now();
        let mut state = self.lock();
        let out = state
            .slots
            .handle_message(EntryIndex(index(from)), message, now);
        state.refresh_usable(now);
        drop(state);
        self.send(out);
    }

    /// Returns borrowed slots that are idle. The result says whether the entry
    /// still has borrowed slots.
    pub(crate) fn return_idle(&self) -> bool {
        let now = self.now();
        let mut state = self.lock();
        let out = state.slots.tick(now);
        state.refresh_usable(now);
        let borrowed = state.slots.has_borrowed();
        drop(state);
        self.send(out);
        borrowed
    }

    fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let Some(to) = self.entries.get(to.0 as usize).cloned() else {
                continue;
            };
            let service = self.service.clone();
            // If the queue is full, the message is lost, which only delays the
            // transfer of slots.
            let _ = self.outbox.try_send(SlotMessage {
                to,
                service,
                message,
            });
        }
    }

    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotState {
    fn refresh_usable(&self, now: Duration) {
        for (position, usable) in self.usable.iter().enumerate() {
            let count = self.slots.usable(TargetKey(index(position)), now);
            usable.store(count, Ordering::Release);
        }
    }
}

fn index(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}
