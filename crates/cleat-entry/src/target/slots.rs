//! The slots of one target that this entry may use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use cleat_decide::TargetKey;
use tokio::time::Instant;

use super::ServiceSlots;

/// Counts the requests in progress at the target of one name.
///
/// Outlives announcements: requests begun before a target announced itself
/// anew still hold its slots. Slots move between entries by demand;
/// connections do not, so that a frozen entry's open ones still count.
#[derive(Debug)]
pub(crate) struct TargetSlots {
    service: Arc<ServiceSlots>,
    key: TargetKey,
    /// Invariant: never raised to more than `connections`. It may stay above a
    /// share that was lowered until requests finish.
    in_flight: AtomicU32,
    /// This entry's part of the target's connections.
    connection_share: AtomicU32,
    /// How many requests of this entry the target could have in progress as
    /// things stood lately. A hint for the choice: only a slot that was taken
    /// counts.
    usable: Arc<AtomicU32>,
}

/// A slot that was taken.
#[derive(Debug, Clone, Copy)]
#[must_use = "a slot that is not given back is lost"]
pub(crate) struct SlotToken {
    pub(super) slot: cleat_decide::Slot,
    /// The request may not be begun at the target from then on.
    pub(crate) start_deadline: Option<Instant>,
}

impl TargetSlots {
    pub(super) fn new(
        service: Arc<ServiceSlots>,
        key: TargetKey,
        usable: Arc<AtomicU32>,
    ) -> TargetSlots {
        TargetSlots {
            service,
            key,
            in_flight: AtomicU32::new(0),
            connection_share: AtomicU32::new(0),
            usable,
        }
    }

    pub(crate) fn service(&self) -> &Arc<ServiceSlots> {
        &self.service
    }

    pub(crate) fn key(&self) -> TargetKey {
        self.key
    }

    pub(crate) fn set_connection_share(&self, connection_share: u32) {
        self.connection_share
            .store(connection_share, Ordering::Release);
    }

    /// The most requests that this entry could ever have in progress here.
    pub(crate) fn connection_share(&self) -> u32 {
        self.connection_share.load(Ordering::Acquire)
    }

    /// How many requests of this entry may be in progress here now.
    pub(crate) fn max_in_flight(&self) -> u32 {
        self.usable
            .load(Ordering::Acquire)
            .min(self.connection_share())
    }

    /// How many slots more this entry could use if others lent them.
    pub(crate) fn borrowable(&self) -> u32 {
        let usable = self.usable.load(Ordering::Acquire);
        self.connection_share()
            .saturating_sub(usable.max(self.in_flight()))
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Takes a slot if one is free.
    pub(super) fn acquire(&self) -> Option<SlotToken> {
        let connection_share = self.connection_share();
        let more = |count: u32| (count < connection_share).then_some(count + 1);
        let counted = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
        counted.ok()?;
        let token = self.service.acquire(self.key);
        if token.is_none() {
            self.in_flight.fetch_sub(1, Ordering::AcqRel);
        }
        token
    }

    /// Gives back a slot that [`Slots::acquire`] took.
    pub(super) fn release(&self, token: SlotToken) {
        self.service.release(token);
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
