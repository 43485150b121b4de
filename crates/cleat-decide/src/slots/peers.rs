//! Which entry to send a slot request to.

use std::time::Duration;

use super::EntryIndex;

/// A slot request without an answer counts as lost after this time.
const SLOT_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the number of idle slots that a peer reported is valid.
const REPORT_AGE_MAX: Duration = Duration::from_millis(50);
/// A report that a peer has nothing to lend is valid for longer each time the
/// peer repeats it, up to this time: when all entries are overloaded, slot
/// requests only cost messages.
const REFUSED_AGE_MAX: Duration = Duration::from_millis(200);
/// The minimum number of idle slots assumed of a peer without a valid report.
const IDLE_ASSUMED: u32 = 1;

/// One other entry.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The incarnation and serial of the last slot request received from it.
    pub(super) last_slot_request: Option<(u64, u64)>,
    idle: u32,
    reported_at: Option<Duration>,
    /// How long the last report is valid.
    report_age_max: Duration,
    /// The slot request that it has not answered yet.
    pending: Option<PendingSlotRequest>,
}

/// A slot request sent to a peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingSlotRequest {
    pub(super) serial: u64,
    pub(super) count: u32,
    pub(super) sent_at: Duration,
}

impl Peer {
    /// How many slots the peer is expected to lend; 0 while a slot request is
    /// pending.
    pub(super) fn expected_idle(&self, now: Duration) -> u32 {
        if self.pending(now) > 0 {
            return 0;
        }
        let valid = self
            .reported_at
            .is_some_and(|at| now < at + self.report_age_max);
        if valid {
            self.idle
        } else {
            self.idle.max(IDLE_ASSUMED)
        }
    }

    /// The number of slots in the pending slot request; 0 if there is none.
    pub(super) fn pending(&self, now: Duration) -> u32 {
        let pending = self
            .pending
            .filter(|request| now < request.sent_at + SLOT_REQUEST_TIMEOUT);
        pending.map_or(0, |request| request.count)
    }

    pub(super) fn set_pending(&mut self, request: PendingSlotRequest) {
        self.pending = Some(request);
    }

    /// Completes the slot request `serial`, if it is the pending one. `granted` says
    /// whether slots were granted, `idle` how many more the peer could lend.
    pub(super) fn complete(
        &mut self,
        serial: u64,
        granted: bool,
        idle: u32,
        now: Duration,
    ) -> Option<PendingSlotRequest> {
        let request = self.pending.take_if(|request| request.serial == serial)?;
        self.report_age_max = if granted {
            REPORT_AGE_MAX
        } else {
            (self.report_age_max * 2).clamp(REPORT_AGE_MAX, REFUSED_AGE_MAX)
        };
        self.idle = idle;
        self.reported_at = Some(now);
        Some(request)
    }

    /// Records a slot request of the peer. Returns whether it is new.
    ///
    /// Incarnations have no order, so a late request of an earlier one counts as
    /// new. The peer ignores the answer to it, and the lent slots are reclaimed
    /// after the lease.
    pub(super) fn record_slot_request(&mut self, incarnation: u64, serial: u64) -> bool {
        let is_old = |last: (u64, u64)| last.0 == incarnation && last.1 >= serial;
        if self.last_slot_request.is_some_and(is_old) {
            return false;
        }
        self.last_slot_request = Some((incarnation, serial));
        true
    }
}

/// The peer to send the next slot request to, with the number of slots that it is
/// expected to lend: the peer with the most, searched from `offset` so that ties
/// rotate.
pub(super) fn best_lender(
    peers: &[Peer],
    me: EntryIndex,
    offset: u64,
    now: Duration,
) -> Option<(usize, u32)> {
    let count = peers.len();
    let start = usize::try_from(offset % count.max(1) as u64).unwrap_or(0);
    let order = (start..count).chain(0..start);
    let others = order.filter(|index| *index != me.0 as usize);
    let expected = others.map(|index| (index, peers[index].expected_idle(now)));
    let best = expected.reduce(|best, next| if next.1 > best.1 { next } else { best });
    best.filter(|(_, expected)| *expected > 0)
}
