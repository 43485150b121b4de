//! Leader startup, proposals and reads.

use std::sync::Arc;
use std::time::Duration;

use super::event::{Rejection, Write};
use super::lease::PeerLease;
use super::progress::{LeaderState, PendingRead, Progress};
use super::types::{Entry, LogIndex, MemberId, Payload};
use super::{Core, Effect, State};

impl Core {
    pub(super) fn become_leader(&mut self, requested_at: Duration) {
        let next = self.log.last_index() + 1;
        let mut leader_state = LeaderState::new(next, requested_at);
        // Members may hold leases that an earlier leader granted up to this
        // moment.
        let until = if self.config.protections.inherited_leases {
            self.now + self.config.timing.member_lease_with_drift()
        } else {
            Duration::ZERO
        };
        let membership = self.log.membership().clone();
        let members = membership.members.iter().map(|member| member.id);
        let others = members.chain(membership.retired.iter().copied());
        for id in others.filter(|id| *id != self.config.id) {
            leader_state
                .progress
                .insert(id, Progress::new(next, PeerLease::inherited(until)));
        }
        self.leader = Some(self.config.id);
        self.state = State::Leader(Box::new(leader_state));
        self.append_as_leader(vec![Payload::Noop]);
        self.broadcast();
    }

    pub(super) fn tick_leader(&mut self) {
        let contact = self.last_quorum_contact();
        if self.now > contact + self.config.timing.election_timeout_max || self.transfer_timed_out()
        {
            return self.become_follower();
        }
        if self.now >= self.deadline() {
            self.heartbeat();
        }
        self.reconcile_membership();
    }

    /// Appends entries to the leader's log and sends them to every member that
    /// has nothing in flight.
    pub(super) fn append_as_leader(&mut self, payloads: Vec<Payload>) {
        let term = self.hard_state.term;
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let entry = Entry {
                index: self.log.last_index() + 1,
                term,
                payload,
            };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        self.write(Write::Append(entries));
        for id in self.other_members() {
            self.send_pending(id);
        }
        self.advance_commit();
    }

    pub(super) fn propose(&mut self, commands: &[Arc<[u8]>]) {
        if let Err(rejection) = self.check_proposal(commands) {
            return self.effects.push(Effect::Rejected(rejection));
        }
        let first = self.log.last_index() + 1;
        let accepted = Effect::Accepted {
            first,
            term: self.hard_state.term,
        };
        self.effects.push(accepted);
        self.append_as_leader(commands.iter().cloned().map(Payload::Command).collect());
    }

    fn check_proposal(&self, commands: &[Arc<[u8]>]) -> Result<(), Rejection> {
        if !matches!(self.state, State::Leader(_)) {
            return Err(Rejection::NotLeader {
                leader: self.leader,
            });
        }
        if self.is_transferring_leadership() {
            return Err(Rejection::NotLeader { leader: None });
        }
        if self.now >= self.last_quorum_contact() + self.config.timing.election_timeout_min {
            return Err(Rejection::NoQuorum);
        }
        let limits = self.config.limits;
        let limit = limits.max_command_bytes;
        if let Some(large) = commands.iter().find(|command| command.len() > limit) {
            return Err(Rejection::TooLarge {
                size: large.len(),
                limit,
            });
        }
        if self.log.last_index() - self.commit >= limits.max_uncommitted_entries {
            return Err(Rejection::Busy);
        }
        Ok(())
    }

    pub(super) fn start_read(&mut self, id: u64) {
        let confirmed = self.holds_leader_lease() && self.has_committed_own_term();
        let commit = self.commit;
        let State::Leader(leader_state) = &mut self.state else {
            let rejection = Rejection::NotLeader {
                leader: self.leader,
            };
            return self.effects.push(Effect::ReadRejected { id, rejection });
        };
        if confirmed {
            return self.effects.push(Effect::ReadReady { id, index: commit });
        }
        let round = leader_state.upcoming_round();
        leader_state.reads.push(PendingRead { id, round });
        self.heartbeat();
    }

    pub(super) fn other_members(&self) -> Vec<MemberId> {
        let members = &self.log.membership().members;
        let others = members.iter().filter(|member| member.id != self.config.id);
        others.map(|member| member.id).collect()
    }

    pub(super) fn lease_holders_behind(&self, index: LogIndex, now: Duration) -> Vec<MemberId> {
        let State::Leader(leader_state) = &self.state else {
            return Vec::new();
        };
        let behind = leader_state.progress.iter().filter(|(_, p)| {
            p.peer_lease.may_hold_lease(now) && p.peer_lease.applied_index() < index
        });
        behind.map(|(id, _)| *id).collect()
    }
}
