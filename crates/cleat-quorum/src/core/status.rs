//! What a core shows of itself.

use std::time::Duration;

use super::types::{Entry, HardState, LogIndex, MemberId, Membership, Term};
use super::{Core, State};

/// The part that a member plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It belongs to no group yet.
    Uninitialized,
    /// It receives the log without a vote.
    Learner,
    /// It votes and follows.
    Follower,
    /// It tries to be elected.
    Candidate,
    /// It leads.
    Leader,
}

/// What the leader knows of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub id: MemberId,
    /// Whether it votes.
    pub votes: bool,
    /// The last entry that it reported as applied.
    pub applied: LogIndex,
    /// Whether it may hold a lease.
    pub may_hold_lease: bool,
}

/// The state of a member at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreStatus {
    /// Its part.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader of the term as far as it is known.
    pub leader: Option<MemberId>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry applied.
    pub applied: LogIndex,
    /// Until when this member may serve, on its own clock; none if it may not.
    pub serves_until: Option<Duration>,
    /// Until when it is certain to be the only leader, on its own clock; none
    /// if it is not.
    pub leader_lease_until: Option<Duration>,
    /// All members, itself included; only on the leader.
    pub members: Vec<MemberStatus>,
}

impl Core {
    /// The state of this member now.
    pub fn status(&self) -> CoreStatus {
        CoreStatus {
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            serves_until: self.lease.serves_until(self.applied),
            leader_lease_until: self.leader_lease_until(),
            members: self.member_statuses(),
        }
    }

    /// The part that this member plays.
    pub fn role(&self) -> Role {
        match &self.state {
            _ if !self.is_formed() => Role::Uninitialized,
            State::Leader(_) => Role::Leader,
            State::Follower if !self.is_voter() => Role::Learner,
            State::Follower => Role::Follower,
            State::PreCandidate { .. } | State::Candidate { .. } => Role::Candidate,
        }
    }

    /// Whether this member may serve at `now`: its lease runs, and it has
    /// applied what was committed when the lease began.
    pub fn in_service(&self, now: Duration) -> bool {
        self.lease
            .serves_until(self.applied)
            .is_some_and(|until| now < until)
    }

    /// Whether the entry is applied on every member that may hold a lease.
    /// Only a leader that is certain of being the only one can say so.
    pub fn in_force(&self, index: LogIndex, now: Duration) -> bool {
        let certain = self.has_committed_own_term()
            && self.holds_leader_lease_at(now)
            && self.applied >= index;
        certain && self.members_behind(index, now).is_empty()
    }

    /// The members that may hold a lease and have not reported the entry.
    pub fn members_behind(&self, index: LogIndex, now: Duration) -> Vec<MemberId> {
        self.members_before(index, now)
    }

    /// The identity of this member's disk.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// The last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// The last entry applied.
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// The term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The latest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// An entry, if it is still in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// The term of an entry, if it is still in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Whether another group of commands may be proposed; a follower answers
    /// at once, so it always has room.
    pub fn can_accept_proposals(&self) -> bool {
        let uncommitted = self.log.last_index() - self.commit;
        self.role() != Role::Leader || uncommitted < self.config.limits.max_uncommitted_entries
    }

    /// The largest command in bytes.
    pub fn max_command_bytes(&self) -> usize {
        self.config.limits.max_command_bytes
    }

    /// The largest snapshot of the state machine in bytes.
    pub fn max_snapshot_bytes(&self) -> usize {
        self.config.limits.max_snapshot_bytes
    }

    /// The entry before the first in memory, and the last entry of the log.
    pub fn log_bounds(&self) -> (LogIndex, LogIndex) {
        (self.log.base_index(), self.log.last_index())
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let State::Leader(leadership) = &self.state else {
            return Vec::new();
        };
        let members = self.log.membership().members.iter();
        members
            .map(|member| {
                let progress = leadership.progress.get(&member.id);
                MemberStatus {
                    id: member.id,
                    votes: member.votes,
                    applied: progress.map_or(self.applied, |p| p.live.applied_index()),
                    may_hold_lease: progress.is_none_or(|p| p.live.may_hold_lease(self.now)),
                }
            })
            .collect()
    }
}
