//! Member leases, as tracked by the member itself and by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use super::message::LeaseStamp;
use super::types::LogIndex;

/// The lease of this member.
#[derive(Debug)]
pub(crate) struct OwnLease {
    incarnation: u32,
    seq: u32,
    /// Recent acknowledgements of this incarnation whose lease could still be
    /// running, in ascending order.
    sent: VecDeque<(u32, Duration)>,
    /// End of the lease on this member's clock.
    until: Duration,
    /// Entry that must be applied before this member serves; `None` before the
    /// first lease.
    ///
    /// Invariant: at least the commit index of the leader that last granted a
    /// lease while none was running. During an unbroken lease the leader waits
    /// for this member to apply entries, so the index doesn't need to advance.
    required_index: Option<LogIndex>,
    released: bool,
}

impl OwnLease {
    pub(crate) fn new(incarnation: u32) -> OwnLease {
        OwnLease {
            incarnation,
            seq: 0,
            sent: VecDeque::new(),
            until: Duration::ZERO,
            required_index: None,
            released: false,
        }
    }

    /// Creates the stamp of an acknowledgement and records its send time.
    pub(crate) fn stamp(&mut self, now: Duration, lease: Duration) -> LeaseStamp {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        while self
            .sent
            .pop_front_if(|(_, at)| *at + lease <= now)
            .is_some()
        {}
        self.current()
    }

    /// Whether `echo` is the stamp of the latest acknowledgement.
    pub(crate) fn is_latest(&self, echo: Option<LeaseStamp>) -> bool {
        echo == Some(self.current())
    }

    fn current(&self) -> LeaseStamp {
        LeaseStamp {
            incarnation: self.incarnation,
            seq: self.seq,
        }
    }

    /// Send time of the echoed acknowledgement, if it is a recent one of this
    /// incarnation.
    pub(crate) fn sent_at(&self, echo: LeaseStamp) -> Option<Duration> {
        if echo.incarnation != self.incarnation {
            return None;
        }
        let at = self
            .sent
            .binary_search_by_key(&echo.seq, |(seq, _)| *seq)
            .ok()?;
        Some(self.sent[at].1)
    }

    /// Extends the lease to `until`. `commit` is the commit index of the leader
    /// that granted it. With `apply_before_lease_resumes` (see
    /// [`Protections`](super::Protections)), a member whose lease had expired
    /// serves again only once it has applied the log up to `commit`.
    pub(crate) fn extend(
        &mut self,
        until: Duration,
        commit: LogIndex,
        now: Duration,
        apply_before_lease_resumes: bool,
    ) {
        if until <= now || self.released {
            return;
        }
        let expired = self.until <= now;
        if self.required_index.is_none() || (expired && apply_before_lease_resumes) {
            self.required_index = Some(commit);
        }
        self.until = self.until.max(until);
    }

    /// Releases the lease for the rest of this incarnation.
    pub(crate) fn release(&mut self) -> LeaseStamp {
        self.released = true;
        self.current()
    }

    pub(crate) fn released_stamp(&self) -> Option<LeaseStamp> {
        self.released.then(|| self.current())
    }

    /// End of the lease, if this member has applied the required entry.
    pub(crate) fn serves_until(&self, applied: LogIndex) -> Option<Duration> {
        let may_serve = self
            .required_index
            .is_some_and(|required_index| applied >= required_index);
        (may_serve && !self.released).then_some(self.until)
    }
}

/// Lease of another member, as tracked by the leader.
#[derive(Debug)]
pub(crate) struct PeerLease {
    stamp: Option<LeaseStamp>,
    applied: LogIndex,
    /// Time until which the member may hold a lease, on the leader's clock.
    lease_until: Duration,
    /// Time until which an earlier or unknown incarnation may hold a lease.
    other_incarnations_until: Duration,
    released: bool,
}

impl PeerLease {
    /// A member that may hold a lease from an earlier leader until `until`.
    pub(crate) fn inherited(until: Duration) -> PeerLease {
        PeerLease {
            stamp: None,
            applied: 0,
            lease_until: until,
            other_incarnations_until: until,
            released: false,
        }
    }

    /// Records an acknowledgement. A lease granted for its stamp expires before
    /// `until`.
    pub(crate) fn record_ack(&mut self, stamp: LeaseStamp, applied: LogIndex, until: Duration) {
        match self.stamp {
            Some(old) if old.incarnation == stamp.incarnation => {
                if self.released {
                    return;
                }
                self.applied = self.applied.max(applied);
                self.stamp = Some(LeaseStamp {
                    seq: old.seq.max(stamp.seq),
                    ..old
                });
            }
            _ => {
                self.other_incarnations_until = self.other_incarnations_until.max(self.lease_until);
                self.applied = applied;
                self.stamp = Some(stamp);
                self.released = false;
            }
        }
        self.lease_until = self.lease_until.max(until);
    }

    /// Records that the member released its lease. Only the known incarnation
    /// can release its lease; leases of other incarnations must expire.
    pub(crate) fn release(&mut self, stamp: LeaseStamp) {
        if self
            .stamp
            .is_some_and(|known| known.incarnation == stamp.incarnation)
        {
            self.lease_until = self.other_incarnations_until;
            self.released = true;
        }
    }

    pub(crate) fn echo(&self) -> Option<LeaseStamp> {
        if self.released { None } else { self.stamp }
    }

    pub(crate) fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// Whether the member may hold a lease.
    pub(crate) fn may_hold_lease(&self, now: Duration) -> bool {
        now <= self.lease_until
    }
}
