//! The slots of one target that this entry may use.

use std::sync::atomic::{AtomicU32, Ordering};

/// Counts the requests in progress at the target of one name.
///
/// Outlives announcements: requests begun before a target announced itself
/// anew still hold its slots.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    /// Invariant: never raised to more than `share`. It may stay above a share
    /// that was lowered until requests finish.
    in_flight: AtomicU32,
    share: AtomicU32,
}

impl Slots {
    pub(crate) fn set_share(&self, share: u32) {
        self.share.store(share, Ordering::Release);
    }

    pub(crate) fn share(&self) -> u32 {
        self.share.load(Ordering::Acquire)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Takes a slot if one is free.
    pub(super) fn acquire(&self) -> bool {
        let share = self.share();
        let more = |count: u32| (count < share).then_some(count + 1);
        let taken = self
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
        taken.is_ok()
    }

    /// Gives back a slot that [`Slots::acquire`] took.
    pub(super) fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
