//! The slots of one target as accounted for by one entry.

use std::time::Duration;

use indexmap::IndexMap;

use super::{EntryIndex, GrantId};

/// Slots at home, lent and borrowed.
#[derive(Debug, Default)]
pub(super) struct TargetSlots {
    pub(super) home: u32,
    /// Requests in progress on slots at home.
    pub(super) home_busy: u32,
    /// The time from which slots at home may be used. Until then, grants and
    /// requests of an earlier incarnation may still be in use.
    pub(super) home_usable_from: Duration,
    /// Whether no earlier incarnation of this entry used the target.
    pub(super) fresh: bool,
    /// Lent slots, with the time at which each is reclaimed if it is not returned.
    pub(super) lent: IndexMap<GrantId, Duration>,
    pub(super) borrowed: IndexMap<GrantId, BorrowedSlot>,
    /// Whether the target accepts no new requests.
    pub(super) leaving: bool,
}

/// A slot that this entry borrowed.
#[derive(Debug)]
pub(super) struct BorrowedSlot {
    pub(super) lender: EntryIndex,
    /// The end of the lease: no request starts on the slot from then on.
    pub(super) until: Duration,
    pub(super) busy: bool,
    pub(super) idle_since: Duration,
}

impl TargetSlots {
    /// The number of slots at home on which a request could start now.
    ///
    /// Invariant: `home_busy` plus the number of lent slots never increases beyond
    /// `home`.
    pub(super) fn home_free(&self, now: Duration) -> u32 {
        if self.leaving || now < self.home_usable_from {
            return 0;
        }
        let lent = u32::try_from(self.lent.len()).unwrap_or(u32::MAX);
        self.home
            .saturating_sub(self.home_busy.saturating_add(lent))
    }

    /// The number of requests in progress and of those that could start now.
    pub(super) fn usable(&self, now: Duration) -> u32 {
        let borrowed = self
            .borrowed
            .values()
            .filter(|b| b.busy || self.may_start_on(b, now));
        let borrowed = u32::try_from(borrowed.count()).unwrap_or(u32::MAX);
        self.home_busy + self.home_free(now) + borrowed
    }

    /// A borrowed slot on which a request could start now.
    pub(super) fn borrowed_free(&self, now: Duration) -> Option<GrantId> {
        let mut grants = self.borrowed.iter();
        let free = grants.find(|(_, b)| !b.busy && self.may_start_on(b, now));
        free.map(|(id, _)| *id)
    }

    /// Removes the borrowed slots to return: those that were idle for too long or
    /// may not be used any more.
    pub(super) fn take_returnable(
        &mut self,
        idle_timeout: Duration,
        now: Duration,
    ) -> Vec<(EntryIndex, GrantId)> {
        let leaving = self.leaving;
        let returnable = |b: &BorrowedSlot| {
            !b.busy && (leaving || now >= b.until || now >= b.idle_since + idle_timeout)
        };
        let out = self.borrowed.iter().filter(|(_, b)| returnable(b));
        let out: Vec<_> = out.map(|(id, b)| (b.lender, *id)).collect();
        for (_, id) in &out {
            self.borrowed.swap_remove(id);
        }
        out
    }

    /// Ends the leases of all borrowed slots: no further request starts on them.
    pub(super) fn end_leases(&mut self) {
        for borrowed in self.borrowed.values_mut() {
            borrowed.until = Duration::ZERO;
        }
    }

    /// Reclaims the lent slots on which no request can run any more.
    pub(super) fn reclaim(&mut self, now: Duration) {
        self.lent.retain(|_, reclaim_at| now < *reclaim_at);
    }

    fn may_start_on(&self, borrowed: &BorrowedSlot, now: Duration) -> bool {
        !self.leaving && now < borrowed.until
    }
}
