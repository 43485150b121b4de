//! Leadership transfer by a leader that is about to stop.
//!
//! The leader rejects further proposals and stops relying on its lease. Once
//! all its entries are committed, it picks the first voter that acknowledges a
//! later round and has the whole log, and tells that voter to start an election
//! at once. The other voters grant their votes without waiting for an election
//! timeout. If no successor is elected, the leader steps down and a regular
//! election follows.

use super::message::Body;
use super::progress::Transfer;
use super::types::{MemberId, Term};
use super::{Core, State};

impl Core {
    pub(super) fn transfer_leadership(&mut self) {
        let deadline = self.now + self.config.timing.election_timeout_min;
        if !self.has_other_voters() || self.is_transferring_leadership() {
            return;
        }
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        // Only rounds sent after the lease ended count: the driver publishes
        // the end of the lease before a voter is told to start an election.
        leader_state.transfer = Some(Transfer {
            round: leader_state.upcoming_round(),
            notified: false,
            deadline,
        });
        self.heartbeat();
    }

    fn has_other_voters(&self) -> bool {
        let mut voters = self.log.membership().voters();
        voters.any(|voter| voter.id != self.config.id)
    }

    /// Whether this member is the leader and is transferring leadership.
    pub fn is_transferring_leadership(&self) -> bool {
        self.transfer().is_some()
    }

    pub(super) fn transfer_timed_out(&self) -> bool {
        self.transfer()
            .is_some_and(|transfer| self.now >= transfer.deadline)
    }

    fn transfer(&self) -> Option<&Transfer> {
        match &self.state {
            State::Leader(leader_state) => leader_state.transfer.as_ref(),
            _ => None,
        }
    }

    /// Tells the voter to start an election if it is the first one since the
    /// last heartbeat that qualifies as the successor.
    pub(super) fn try_transfer_to(&mut self, to: MemberId, round: u64) {
        let last = self.log.last_index();
        let committed = self.commit == last;
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let due = leader_state
            .transfer
            .is_some_and(|transfer| !transfer.notified && round >= transfer.round);
        let ready = leader_state.progress.get(&to).is_some_and(|progress| {
            let votes = self.counts_as_voter(self.log.membership(), to, progress.identity);
            votes && progress.matched == last
        });
        if !due || !ready || !committed {
            return;
        }
        if let State::Leader(leader_state) = &mut self.state
            && let Some(transfer) = &mut leader_state.transfer
        {
            transfer.notified = true;
        }
        self.send(to, Body::TimeoutNow);
    }

    pub(super) fn on_timeout_now(&mut self, from: MemberId, term: Term) {
        let sent_by_leader = term == self.hard_state.term && self.leader == Some(from);
        let is_follower = matches!(self.state, State::Follower);
        if sent_by_leader && is_follower && self.is_voter() {
            self.leader = None;
            self.start_election(true);
        }
    }

    /// Releases this member's lease before it stops.
    pub(super) fn release_lease(&mut self) {
        let stamp = self.lease.release();
        if let Some(leader) = self.leader.filter(|leader| *leader != self.config.id) {
            self.send(leader, Body::ReleaseLease(stamp));
        }
    }
}
