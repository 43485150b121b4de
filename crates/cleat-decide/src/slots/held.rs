//! The slots of one target as one entry holds them.

use std::time::Duration;

use indexmap::IndexMap;

use super::{EntryIndex, GrantId};

/// Slots at home, lent and borrowed.
#[derive(Debug, Default)]
pub(super) struct Held {
    pub(super) home: u32,
    /// Requests in progress on slots at home.
    pub(super) home_busy: u32,
    /// Until when loans and requests of an earlier life may be out.
    pub(super) home_from: Duration,
    /// Whether no earlier life had to do with the target.
    pub(super) fresh: bool,
    /// Loans out, with the time at which the slot is back without a return.
    pub(super) lent: IndexMap<GrantId, Duration>,
    pub(super) borrowed: IndexMap<GrantId, Borrowed>,
    /// Whether the target takes no new work.
    pub(super) leaving: bool,
}

/// A slot on loan here.
#[derive(Debug)]
pub(super) struct Borrowed {
    pub(super) lender: EntryIndex,
    /// No request starts on it from here on.
    pub(super) until: Duration,
    pub(super) busy: bool,
    pub(super) idle_since: Duration,
}

impl Held {
    /// Slots at home on which a request could start now. Invariant: at home,
    /// `home_busy + lent` never rises beyond `home`.
    pub(super) fn home_free(&self, now: Duration) -> u32 {
        if self.leaving || now < self.home_from {
            return 0;
        }
        let lent = u32::try_from(self.lent.len()).unwrap_or(u32::MAX);
        self.home
            .saturating_sub(self.home_busy.saturating_add(lent))
    }

    /// Requests in progress and those that could start now.
    pub(super) fn usable(&self, now: Duration) -> u32 {
        let borrowed = self
            .borrowed
            .values()
            .filter(|b| b.busy || self.open(b, now));
        let borrowed = u32::try_from(borrowed.count()).unwrap_or(u32::MAX);
        self.home_busy + self.home_free(now) + borrowed
    }

    /// A borrowed slot on which a request could start now.
    pub(super) fn borrowed_free(&self, now: Duration) -> Option<GrantId> {
        let mut grants = self.borrowed.iter();
        let open = grants.find(|(_, b)| !b.busy && self.open(b, now));
        open.map(|(id, _)| *id)
    }

    /// Takes out loans that are idle for too long or may not be used further.
    pub(super) fn surplus(
        &mut self,
        idle_timeout: Duration,
        now: Duration,
    ) -> Vec<(EntryIndex, GrantId)> {
        let leaving = self.leaving;
        let surplus = |b: &Borrowed| {
            !b.busy && (leaving || now >= b.until || now >= b.idle_since + idle_timeout)
        };
        let out = self.borrowed.iter().filter(|(_, b)| surplus(b));
        let out: Vec<_> = out.map(|(id, b)| (b.lender, *id)).collect();
        for (_, id) in &out {
            self.borrowed.swap_remove(id);
        }
        out
    }

    /// Lets no further request start on what is on loan here.
    pub(super) fn close_loans(&mut self) {
        for borrowed in self.borrowed.values_mut() {
            borrowed.until = Duration::ZERO;
        }
    }

    /// Takes back loans whose time has passed on any clock.
    pub(super) fn reclaim(&mut self, now: Duration) {
        self.lent.retain(|_, back_at| now < *back_at);
    }

    fn open(&self, borrowed: &Borrowed, now: Duration) -> bool {
        !self.leaving && now < borrowed.until
    }
}
