//! Replication state that a leader tracks for each member.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::lease::PeerLease;
use super::message::{Ack, AckOutcome};
use super::types::{LogIndex, MemberId};

/// Entries or a snapshot that were sent to a member and not yet acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inflight {
    /// Round in which they were sent; see [`LeaderState`].
    pub(crate) round: u64,
    /// First index to resend if the message is lost.
    pub(crate) first_index: LogIndex,
    pub(crate) last_index: LogIndex,
    /// Time after which the message counts as lost.
    pub(crate) expires: Duration,
}

/// Replication state of one member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Disk identity that the member last reported; 0 if none.
    pub(crate) identity: u64,
    /// Last entry that is synced under this identity.
    pub(crate) matched: LogIndex,
    /// Next entry to send. Invariant: greater than `matched`.
    pub(crate) next: LogIndex,
    /// Whether the member requested a snapshot.
    pub(crate) needs_snapshot: bool,
    pub(crate) inflight: Option<Inflight>,
    /// Highest round that the member acknowledged while it was initialized.
    pub(crate) round: u64,
    /// When the latest round acknowledged under this identity was sent.
    pub(crate) round_sent_at: Option<Duration>,
    /// When the leader last sent a message to the member.
    pub(crate) sent_at: Duration,
    pub(crate) peer_lease: PeerLease,
}

impl Progress {
    pub(crate) fn new(next: LogIndex, peer_lease: PeerLease) -> Progress {
        Progress {
            identity: 0,
            matched: 0,
            next,
            needs_snapshot: false,
            inflight: None,
            round: 0,
            round_sent_at: None,
            sent_at: Duration::ZERO,
            peer_lease,
        }
    }

    /// Sets the disk identity; if it changed, resets the state of the previous
    /// one.
    pub(crate) fn set_identity(&mut self, identity: u64) {
        if self.identity == identity {
            return;
        }
        self.identity = identity;
        self.matched = 0;
        self.inflight = None;
        self.round_sent_at = None;
    }

    /// Whether the member lacks entries or has not reported all committed
    /// entries as applied.
    pub(crate) fn is_behind(&self, last: LogIndex, commit: LogIndex) -> bool {
        let sending = self.inflight.is_some() || self.needs_snapshot;
        sending || self.next <= last || self.peer_lease.applied_index() < commit
    }

    /// Gives up on an unacknowledged message once it counts as lost, so that its
    /// entries are sent again.
    pub(crate) fn expire(&mut self, now: Duration) {
        if let Some(inflight) = self.inflight
            && inflight.expires <= now
        {
            self.inflight = None;
            self.next = inflight.first_index.max(self.matched + 1);
        }
    }

    /// Updates the replication state from an acknowledgement of the current
    /// identity. A stale one can only confirm matching entries.
    pub(crate) fn apply_outcome(&mut self, ack: &Ack, stale: bool) {
        if let AckOutcome::Matched(index) = ack.outcome {
            self.matched = self.matched.max(index);
            self.next = self.next.max(index + 1);
        } else if stale {
            return;
        }
        self.complete_inflight(ack.round);
        if self.inflight.is_some() {
            return;
        }
        match ack.outcome {
            AckOutcome::Matched(_) => {
                self.needs_snapshot = false;
                self.next = self.matched + 1;
            }
            AckOutcome::Mismatch(hint) => {
                self.next = self.next.min(hint + 1).max(self.matched + 1);
            }
            AckOutcome::Uninitialized => self.needs_snapshot = true,
        }
    }

    /// Clears the in-flight message if this acknowledgement covers it.
    fn complete_inflight(&mut self, round: u64) {
        let answered =
            |inflight: Inflight| inflight.round == round || inflight.last_index <= self.matched;
        if self.inflight.is_some_and(answered) {
            self.inflight = None;
        }
    }
}

/// A read that waits for a majority to confirm this leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) id: u64,
    /// Round that a majority must acknowledge, or a later one.
    pub(crate) round: u64,
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    /// First round whose acknowledgement qualifies a voter as the successor.
    pub(crate) round: u64,
    /// Whether a voter was told to start an election since the last heartbeat.
    pub(crate) notified: bool,
    /// When the leader steps down if no successor was elected.
    pub(crate) deadline: Duration,
}

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// State of the other members, including removed members that may hold
    /// leases.
    pub(crate) progress: IndexMap<MemberId, Progress>,
    /// First entry of this leader. Invariant: the commit index covers all
    /// entries of earlier terms only once this entry is committed.
    pub(crate) first_index: LogIndex,
    /// When this leader requested votes, which counts as its first contact with
    /// a majority.
    pub(crate) requested_at: Duration,
    pub(crate) heartbeat_due: Duration,
    pub(crate) reads: Vec<PendingRead>,
    /// Set from the start of a leadership transfer until the end of the term.
    ///
    /// Invariant: while set, the leader lease counts as expired, since voters
    /// may elect the successor at any time.
    pub(crate) transfer: Option<Transfer>,
    /// Number of the last round. A round is one send of the leader to one or
    /// more members; their acknowledgements repeat its number. A majority of
    /// acknowledgements shows that this member was still the leader when it
    /// sent the round.
    round: u64,
    /// Send times of the recent rounds, in ascending order without gaps.
    rounds: VecDeque<(u64, Duration)>,
}

impl LeaderState {
    pub(crate) fn new(first_index: LogIndex, requested_at: Duration) -> LeaderState {
        LeaderState {
            progress: IndexMap::new(),
            first_index,
            requested_at,
            heartbeat_due: Duration::ZERO,
            reads: Vec::new(),
            transfer: None,
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    /// Starts a round and discards rounds sent more than `horizon` ago.
    pub(crate) fn next_round(&mut self, now: Duration, horizon: Duration) -> u64 {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        while self
            .rounds
            .pop_front_if(|(_, at)| *at + horizon < now)
            .is_some()
        {}
        self.round
    }

    /// Number of the next round.
    pub(crate) fn upcoming_round(&self) -> u64 {
        self.round + 1
    }

    pub(crate) fn sent_at(&self, round: u64) -> Option<Duration> {
        let (first, _) = self.rounds.front()?;
        let offset = usize::try_from(round.checked_sub(*first)?).ok()?;
        self.rounds.get(offset).map(|(_, at)| *at)
    }
}
