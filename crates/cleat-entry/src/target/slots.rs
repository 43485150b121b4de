//! The slots of one target that this entry may use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use cleat_decide::TargetKey;
use tokio::time::Instant;

use super::ServiceSlots;

/// Counts the requests in progress at a target, identified by its name.
///
/// It is retained across announcements, because requests that started before
/// the target announced itself again still occupy its slots. Slots are lent
/// between entries by demand, but connections are not, so that the open
/// connections of a frozen entry remain accounted for.
#[derive(Debug)]
pub(crate) struct TargetSlots {
    service: Arc<ServiceSlots>,
    key: TargetKey,
    /// Invariant: never increased beyond `connection_share`. If the share is
    /// reduced, it may stay above the new value until requests finish.
    in_flight: AtomicU32,
    /// This entry's share of the target's connections.
    connection_share: AtomicU32,
    /// A recent value of how many requests of this entry may be in progress at
    /// the target. It is only a hint for the choice of a target; the limit is
    /// enforced when a slot is acquired.
    usable: Arc<AtomicU32>,
}

/// An acquired slot.
#[derive(Debug, Clone, Copy)]
#[must_use = "a slot that is not given back is lost"]
pub(crate) struct SlotToken {
    pub(super) slot: cleat_decide::Slot,
    /// The time before which the request must be started at the target; `None`
    /// if there is no limit.
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

    /// The maximum number of requests that this entry could ever have in
    /// progress at the target.
    pub(crate) fn connection_share(&self) -> u32 {
        self.connection_share.load(Ordering::Acquire)
    }

    /// The number of requests that this entry may currently have in progress at
    /// the target.
    pub(crate) fn max_in_flight(&self) -> u32 {
        self.usable
            .load(Ordering::Acquire)
            .min(self.connection_share())
    }

    /// The number of additional slots that this entry could use if other
    /// entries lent them.
    pub(crate) fn borrowable(&self) -> u32 {
        let usable = self.usable.load(Ordering::Acquire);
        self.connection_share()
            .saturating_sub(usable.max(self.in_flight()))
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Acquires a slot if one is free.
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

    /// Releases a slot acquired by [`TargetSlots::acquire`].
    pub(super) fn release(&self, token: SlotToken) {
        self.service.release(token);
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
