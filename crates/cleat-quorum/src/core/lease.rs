//! Both sides of a member's lease: the member's, and the leader's.

use std::collections::VecDeque;
use std::time::Duration;

use super::message::LeaseStamp;
use super::types::LogIndex;

/// The lease of this member.
#[derive(Debug)]
pub(crate) struct MemberLease {
    incarnation: u32,
    seq: u32,
    /// The sends of this incarnation whose lease could still run, ascending.
    sent: VecDeque<(u32, Duration)>,
    /// The end of the lease on this member's clock.
    until: Duration,
    /// The entry that must be applied before this member serves. None before
    /// the first lease.
    ///
    /// Invariant: at least the commit index of the leader that last granted
    /// a lease while none was running. While a lease runs unbroken, the
    /// leader waits for this member, so the gate needs no further move.
    gate: Option<LogIndex>,
    released: bool,
}

impl MemberLease {
    pub(crate) fn new(incarnation: u32) -> MemberLease {
        MemberLease {
            incarnation,
            seq: 0,
            sent: VecDeque::new(),
            until: Duration::ZERO,
            gate: None,
            released: false,
        }
    }

    /// Stamps a send.
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

    /// Whether nothing was sent after the echoed stamp.
    pub(crate) fn is_latest(&self, echo: Option<LeaseStamp>) -> bool {
        echo == Some(self.current())
    }

    fn current(&self) -> LeaseStamp {
        LeaseStamp {
            incarnation: self.incarnation,
            seq: self.seq,
        }
    }

    /// When the echoed send left, if it was one of this incarnation.
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

    /// Runs the lease until `until`; `commit` is what its granter had committed.
    pub(crate) fn extend(&mut self, until: Duration, commit: LogIndex, now: Duration, gated: bool) {
        if until <= now || self.released {
            return;
        }
        let lapsed = self.until <= now;
        if self.gate.is_none() || (lapsed && gated) {
            self.gate = Some(commit);
        }
        self.until = self.until.max(until);
    }

    /// Gives the lease up for the rest of this incarnation.
    pub(crate) fn release(&mut self) -> LeaseStamp {
        self.released = true;
        self.current()
    }

    pub(crate) fn released(&self) -> Option<LeaseStamp> {
        self.released.then(|| self.current())
    }

    /// The end of the lease, if this member may serve at all.
    pub(crate) fn serves_until(&self, applied: LogIndex) -> Option<Duration> {
        let open = self.gate.is_some_and(|gate| applied >= gate);
        (open && !self.released).then_some(self.until)
    }
}

/// What the leader knows of another member's lease.
#[derive(Debug)]
pub(crate) struct Liveness {
    stamp: Option<LeaseStamp>,
    applied: LogIndex,
    /// Until when the member may hold a lease, on the leader's clock.
    live_until: Duration,
    /// Until when an earlier incarnation of the member, or one unknown, may hold one.
    others_until: Duration,
    released: bool,
}

impl Liveness {
    /// A member that may hold a lease of an earlier leader until `until`.
    pub(crate) fn inherited(until: Duration) -> Liveness {
        Liveness {
            stamp: None,
            applied: 0,
            live_until: until,
            others_until: until,
            released: false,
        }
    }

    /// Notes an acknowledgement; a lease from its stamp lapses before `until`.
    pub(crate) fn acked(&mut self, stamp: LeaseStamp, applied: LogIndex, until: Duration) {
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
                self.others_until = self.others_until.max(self.live_until);
                self.applied = applied;
                self.stamp = Some(stamp);
                self.released = false;
            }
        }
        self.live_until = self.live_until.max(until);
    }

    /// The member gave its lease up. Only the incarnation that is known can do so,
    /// and leases of other lives still run out by themselves.
    pub(crate) fn release(&mut self, stamp: LeaseStamp) {
        if self
            .stamp
            .is_some_and(|known| known.incarnation == stamp.incarnation)
        {
            self.live_until = self.others_until;
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
        now <= self.live_until
    }
}
