//! Status of a core.

use std::time::Duration;

use super::types::{Entry, HardState, LogIndex, MemberId, Membership, Term};
use super::{Core, State};

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Belongs to no group yet.
    Uninitialized,
    /// Receives the log but doesn't vote.
    Learner,
    /// Votes and follows a leader.
    Follower,
    /// Is a candidate in a pre-vote or an election.
    Candidate,
    /// Leads the group.
    Leader,
}

/// What the leader knows about one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Identifier of the member.
    pub id: MemberId,
    /// Whether the member is a voter.
    pub votes: bool,
    /// Last entry that the member reported as applied.
    pub applied: LogIndex,
    /// Whether the member may hold a lease.
    pub may_hold_lease: bool,
}

/// State of a member at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreStatus {
    /// Role of the member.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the current term, if known.
    pub leader: Option<MemberId>,
    /// Last entry known to be committed.
    pub commit: LogIndex,
    /// Last entry applied.
    pub applied: LogIndex,
    /// Time until which this member may serve, on its own clock; `None` if it
    /// may not.
    pub serves_until: Option<Duration>,
    /// Time until which this member is certain to be the only leader and to
    /// know all committed entries, on its own clock; `None` if it is not
    /// certain.
    pub leader_lease_until: Option<Duration>,
    /// All members including this one; empty unless this member is the leader.
    pub members: Vec<MemberStatus>,
}

impl Core {
    /// Returns the current state of this member.
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

    /// Returns the current role of this member.
    pub fn role(&self) -> Role {
        match &self.state {
            _ if !self.is_initialized() => Role::Uninitialized,
            State::Leader(_) => Role::Leader,
            State::Follower if !self.is_voter() => Role::Learner,
            State::Follower => Role::Follower,
            State::PreCandidate { .. } | State::Candidate { .. } => Role::Candidate,
        }
    }

    /// Whether this member may serve at `now`: it holds a lease and has applied
    /// all entries that were committed when the lease started.
    pub fn in_service(&self, now: Duration) -> bool {
        self.lease
            .serves_until(self.applied)
            .is_some_and(|until| now < until)
    }

    /// Whether the entry is applied on every member that may hold a lease. True
    /// only on a leader that holds the leader lease.
    pub fn in_force(&self, index: LogIndex, now: Duration) -> bool {
        let confirmed = self.has_committed_own_term()
            && self.holds_leader_lease_at(now)
            && self.applied >= index;
        confirmed && self.members_behind(index, now).is_empty()
    }

    /// Members that may hold a lease and have not reported the entry as
    /// applied.
    pub fn members_behind(&self, index: LogIndex, now: Duration) -> Vec<MemberId> {
        self.lease_holders_behind(index, now)
    }

    /// Identity of this member's disk.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Last entry applied.
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// Current term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Latest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns an entry, if it is still in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// Returns the term of an entry, if it is still in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Whether to submit further proposals. False on a leader with too many
    /// uncommitted entries. Other members reject proposals at once, so they can
    /// always take more.
    pub fn can_accept_proposals(&self) -> bool {
        let uncommitted = self.log.last_index() - self.commit;
        self.role() != Role::Leader || uncommitted < self.config.limits.max_uncommitted_entries
    }

    /// Maximum size of a command.
    pub fn max_command_bytes(&self) -> usize {
        self.config.limits.max_command_bytes
    }

    /// Maximum size of a state machine snapshot.
    pub fn max_snapshot_bytes(&self) -> usize {
        self.config.limits.max_snapshot_bytes
    }

    /// Returns the index before the first entry in memory, and the last index
    /// of the log.
    pub fn log_bounds(&self) -> (LogIndex, LogIndex) {
        (self.log.base_index(), self.log.last_index())
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let State::Leader(leader_state) = &self.state else {
            return Vec::new();
        };
        let members = self.log.membership().members.iter();
        members
            .map(|member| {
                let progress = leader_state.progress.get(&member.id);
                MemberStatus {
                    id: member.id,
                    votes: member.votes,
                    applied: progress.map_or(self.applied, |p| p.peer_lease.applied_index()),
                    may_hold_lease: progress.is_none_or(|p| p.peer_lease.may_hold_lease(self.now)),
                }
            })
            .collect()
    }
}
