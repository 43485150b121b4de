//! How a leader that is about to stop hands its lead over.
//!
//! It takes no more commands and trusts its own lease no longer. Once all it
//! appended is committed, the first voter that acknowledges a later round and
//! holds the whole log is told to stand for election at once; the others vote
//! for it without waiting for the old leader's silence. If nobody takes over,
//! the leader steps down and an ordinary election follows.

use super::message::Body;
use super::progress::Transfer;
use super::types::{MemberId, Term};
use super::{Core, State};

impl Core {
    pub(super) fn transfer_leadership(&mut self) {
        let until = self.now + self.config.timing.election_timeout_min;
        if !self.has_other_voters() || self.is_transferring_leadership() {
            return;
        }
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        // Only rounds that begin after the lease was given up count: the
        // driver shows the end of the lease before anyone is told to stand.
        leadership.transfer = Some(Transfer {
            round: leadership.upcoming_round(),
            told: false,
            until,
        });
        self.heartbeat();
    }

    fn has_other_voters(&self) -> bool {
        let mut voters = self.log.membership().voters();
        voters.any(|voter| voter.id != self.config.id)
    }

    /// Whether this member leads and is handing its lead over.
    pub fn is_transferring_leadership(&self) -> bool {
        self.transfer().is_some()
    }

    pub(super) fn transfer_failed(&self) -> bool {
        self.transfer()
            .is_some_and(|transfer| self.now >= transfer.until)
    }

    fn transfer(&self) -> Option<&Transfer> {
        match &self.state {
            State::Leader(leadership) => leadership.transfer.as_ref(),
            _ => None,
        }
    }

    /// Tells the voter to stand for election if it is the first, since the
    /// last heartbeat, that could replace this leader.
    pub(super) fn offer_lead(&mut self, to: MemberId, round: u64) {
        let last = self.log.last_index();
        let settled = self.commit == last;
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let due = leadership
            .transfer
            .is_some_and(|transfer| !transfer.told && round >= transfer.round);
        let ready = leadership.progress.get(&to).is_some_and(|progress| {
            let votes = self.counts_as_voter(self.log.membership(), to, progress.identity);
            votes && progress.matched == last
        });
        if !due || !ready || !settled {
            return;
        }
        if let State::Leader(leadership) = &mut self.state
            && let Some(transfer) = &mut leadership.transfer
        {
            transfer.told = true;
        }
        self.send(to, Body::TimeoutNow);
    }

    pub(super) fn on_timeout_now(&mut self, from: MemberId, term: Term) {
        let told_by_leader = term == self.hard_state.term && self.leader == Some(from);
        let follows = matches!(self.state, State::Follower);
        if told_by_leader && follows && self.is_voter() {
            self.leader = None;
            self.start_election(true);
        }
    }

    /// Gives up this member's lease before it stops.
    pub(super) fn release(&mut self) {
        let stamp = self.lease.release();
        if let Some(leader) = self.leader.filter(|leader| *leader != self.config.id) {
            self.send(leader, Body::ReleaseLease(stamp));
        }
    }
}
