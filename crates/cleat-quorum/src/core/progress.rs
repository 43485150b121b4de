//! What a leader knows of the other members.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::lease::Liveness;
use super::message::{Ack, AckOutcome};
use super::types::{LogIndex, MemberId};

/// Entries or a snapshot under way to a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inflight {
    pub(crate) round: u64,
    /// Where to begin again if it is lost.
    pub(crate) first_index: LogIndex,
    pub(crate) last_index: LogIndex,
    /// When to send again.
    pub(crate) expires: Duration,
}

/// The replication to one member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The identity that the member last stated; 0 while unknown.
    pub(crate) identity: u64,
    /// The last entry that this identity has synced.
    pub(crate) matched: LogIndex,
    /// The next entry to send. Invariant: greater than `matched`.
    pub(crate) next: LogIndex,
    /// Whether the member asked for a snapshot.
    pub(crate) needs_snapshot: bool,
    pub(crate) inflight: Option<Inflight>,
    /// The highest round that this identity acknowledged.
    pub(crate) round: u64,
    /// When that round left.
    pub(crate) round_sent: Option<Duration>,
    /// When anything was last sent to the member.
    pub(crate) sent_at: Duration,
    pub(crate) live: Liveness,
}

impl Progress {
    pub(crate) fn new(next: LogIndex, live: Liveness) -> Progress {
        Progress {
            identity: 0,
            matched: 0,
            next,
            needs_snapshot: false,
            inflight: None,
            round: 0,
            round_sent: None,
            sent_at: Duration::ZERO,
            live,
        }
    }

    /// Forgets what another identity of the member held.
    pub(crate) fn meet(&mut self, identity: u64) {
        if self.identity == identity {
            return;
        }
        self.identity = identity;
        self.matched = 0;
        self.inflight = None;
        self.round_sent = None;
    }

    /// Whether the member lacks entries or is not known to have applied all
    /// that is committed.
    pub(crate) fn lags(&self, last: LogIndex, commit: LogIndex) -> bool {
        let sending = self.inflight.is_some() || self.needs_snapshot;
        sending || self.next <= last || self.live.applied_index() < commit
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        if let Some(inflight) = self.inflight
            && inflight.expires <= now
        {
            self.inflight = None;
            self.next = inflight.first_index.max(self.matched + 1);
        }
    }

    /// Takes what an acknowledgement of the current identity says of the log.
    pub(crate) fn take_outcome(&mut self, ack: &Ack, overtaken: bool) {
        if let AckOutcome::Matched(index) = ack.outcome {
            self.matched = self.matched.max(index);
            self.next = self.next.max(index + 1);
        } else if overtaken {
            return;
        }
        self.settle(ack.round);
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

    /// Ends what is under way if this acknowledgement answers it.
    fn settle(&mut self, round: u64) {
        let answered =
            |inflight: Inflight| inflight.round == round || inflight.last_index <= self.matched;
        if self.inflight.is_some_and(answered) {
            self.inflight = None;
        }
    }
}

/// A read that waits for a majority to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) id: u64,
    pub(crate) round: u64,
}

/// A lead that is being handed over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    /// The first round whose acknowledgement makes a voter the successor.
    pub(crate) round: u64,
    /// Whether a voter was told to stand for election since the last heartbeat.
    pub(crate) told: bool,
    /// When the leader steps down if nobody took over.
    pub(crate) until: Duration,
}

/// The state that only a leader has.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// The other members, and retired ones for their leases.
    pub(crate) progress: IndexMap<MemberId, Progress>,
    /// The leader's first entry. Invariant: the commit index covers every
    /// earlier term only once this entry is committed.
    pub(crate) first_index: LogIndex,
    /// When the votes were asked for: the first contact with a majority.
    pub(crate) asked_at: Duration,
    pub(crate) heartbeat_due: Duration,
    pub(crate) reads: Vec<PendingRead>,
    /// Set for the rest of the term once the lead is handed over.
    ///
    /// Invariant: while set, the leader's lease counts as lapsed, since voters
    /// grant the successor their vote at any time.
    pub(crate) transfer: Option<Transfer>,
    round: u64,
    /// When the recent rounds left, ascending and without gaps.
    rounds: VecDeque<(u64, Duration)>,
}

impl Leadership {
    pub(crate) fn new(first_index: LogIndex, asked_at: Duration) -> Leadership {
        Leadership {
            progress: IndexMap::new(),
            first_index,
            asked_at,
            heartbeat_due: Duration::ZERO,
            reads: Vec::new(),
            transfer: None,
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    /// Starts a round; forgets those that left more than `horizon` ago.
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

    /// The number that the next round will have.
    pub(crate) fn upcoming_round(&self) -> u64 {
        self.round + 1
    }

    pub(crate) fn sent_at(&self, round: u64) -> Option<Duration> {
        let (first, _) = self.rounds.front()?;
        let offset = usize::try_from(round.checked_sub(*first)?).ok()?;
        self.rounds.get(offset).map(|(_, at)| *at)
    }
}
