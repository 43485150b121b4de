//! The slots of one service's targets, shared with the other entries by demand.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cleat_decide::{EntryIndex, LeaseTerms, Message, Outgoing, TargetKey};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Slots, Taken};
use crate::config::EntryConfig;

/// For how long a borrower may begin requests on a slot.
const LEASE: Duration = Duration::from_secs(2);
/// For how long a borrower keeps a slot that it does not use.
const KEEP_IDLE: Duration = Duration::from_millis(20);

/// A message about slots to another entry. It may be lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotMessage {
    /// The other entry's name.
    pub to: Box<str>,
    /// The service whose targets it is about.
    pub service: Box<str>,
    /// What is said.
    pub message: Message,
}

/// Lends and borrows the slots of one service.
#[derive(Debug)]
pub(crate) struct ServiceSlots {
    service: Box<str>,
    /// The names of all entries, by position.
    entries: Box<[Box<str>]>,
    /// The zero of the decisions' clock.
    epoch: Instant,
    outbox: mpsc::Sender<SlotMessage>,
    /// Held for decisions only. Taken under the service's lock, never around
    /// it.
    machine: Mutex<Machine>,
}

#[derive(Debug)]
struct Machine {
    slots: cleat_decide::Slots,
    /// By key of the target.
    usable: Vec<Arc<AtomicU32>>,
}

impl ServiceSlots {
    pub(crate) fn new(
        service: &str,
        cfg: &EntryConfig,
        longest_request: Duration,
        epoch: Instant,
        outbox: mpsc::Sender<SlotMessage>,
    ) -> ServiceSlots {
        let terms = LeaseTerms {
            lease: LEASE,
            max_request_duration: longest_request,
            idle_timeout: KEEP_IDLE,
        };
        let me = cfg.entries.iter().position(|name| *name == cfg.name);
        let me = EntryIndex(index(me.unwrap_or(usize::MAX)));
        // What ran before this life began is over later than that by the time
        // that the decisions count from the epoch.
        let slots =
            cleat_decide::Slots::new(me, cfg.incarnation, &cfg.entries, terms, Duration::ZERO);
        ServiceSlots {
            service: service.into(),
            entries: cfg.entries.clone().into(),
            epoch,
            outbox,
            machine: Mutex::new(Machine {
                slots,
                usable: Vec::new(),
            }),
        }
    }

    /// See [`cleat_decide::Slots::set_max_request_duration`].
    pub(crate) fn set_longest_request(&self, longest: Duration) {
        self.lock().slots.set_max_request_duration(longest);
    }

    /// A handle on the slots of a target that was not known or left.
    pub(crate) fn target(self: &Arc<Self>, name: &str, cap: u32, fresh: bool) -> Slots {
        let mut machine = self.lock();
        let key = machine.slots.set_target(name, cap, fresh);
        let position = key.0 as usize;
        while machine.usable.len() <= position {
            machine.usable.push(Arc::default());
        }
        let usable = Arc::clone(&machine.usable[position]);
        machine.refresh(self.now());
        Slots::new(Arc::clone(self), key, usable)
    }

    /// The target has this cap, the lesser of its slots and connections.
    pub(crate) fn set_cap(&self, name: &str, cap: u32, fresh: bool) {
        let mut machine = self.lock();
        machine.slots.set_target(name, cap, fresh);
        machine.refresh(self.now());
    }

    /// See [`cleat_decide::Slots::withhold_home_slots`].
    pub(crate) fn hold_back(&self, key: TargetKey) {
        let mut machine = self.lock();
        machine.slots.withhold_home_slots(key, self.now());
        machine.refresh(self.now());
    }

    /// The target takes no new work.
    pub(crate) fn remove_target(&self, name: &str) {
        let mut machine = self.lock();
        machine.slots.remove_target(name);
        machine.refresh(self.now());
    }

    pub(super) fn begin(&self, key: TargetKey) -> Option<Taken> {
        let mut machine = self.lock();
        let slot = machine.slots.acquire(key, self.now())?;
        let until = machine.slots.start_deadline(slot);
        let begin_until = until.map(|until| self.epoch + until);
        Some(Taken { slot, begin_until })
    }

    pub(super) fn end(&self, taken: Taken) {
        let now = self.now();
        self.lock().slots.release(taken.slot, now);
    }

    /// Asks the others for slots for `count` waiting requests.
    pub(crate) fn want(&self, count: u32) {
        if count == 0 {
            return;
        }
        let now = self.now();
        let out = self.lock().slots.request_slots(count, now);
        self.send(out);
    }

    /// Handles a message of the entry `from`.
    pub(crate) fn receive(&self, from: &str, message: Message) {
        let Some(from) = self.entries.iter().position(|name| **name == *from) else {
            return;
        };
        let now = self.now();
        let mut machine = self.lock();
        let out = machine
            .slots
            .handle_message(EntryIndex(index(from)), message, now);
        machine.refresh(now);
        drop(machine);
        self.send(out);
    }

    /// Gives back what is not used. Says whether anything is still on loan.
    pub(crate) fn tick(&self) -> bool {
        let now = self.now();
        let mut machine = self.lock();
        let out = machine.slots.tick(now);
        machine.refresh(now);
        let borrowed = machine.slots.has_borrowed();
        drop(machine);
        self.send(out);
        borrowed
    }

    fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let Some(to) = self.entries.get(to.0 as usize).cloned() else {
                continue;
            };
            let service = self.service.clone();
            // With a full queue the message is lost, which only costs time.
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

    fn lock(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Machine {
    fn refresh(&self, now: Duration) {
        for (position, usable) in self.usable.iter().enumerate() {
            let count = self.slots.usable(TargetKey(index(position)), now);
            usable.store(count, Ordering::Release);
        }
    }
}

fn index(position: usize) -> u32 {
    u32::try_from(position).unwrap_or(u32::MAX)
}
