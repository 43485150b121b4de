//! Published state of a replica.

use super::clock::BootTime;
use crate::core::{CoreStatus, MemberId, MemberStatus, Role, Term};

/// State of a replica after its last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    core: CoreStatus,
    serves_until: Option<BootTime>,
    leader_lease_until: Option<BootTime>,
}

impl Status {
    pub(crate) fn new(core: CoreStatus, clock_origin: BootTime) -> Status {
        let serves_until = core.serves_until.map(|until| clock_origin + until);
        let leader_lease_until = core.leader_lease_until.map(|until| clock_origin + until);
        Status {
            core,
            serves_until,
            leader_lease_until,
        }
    }

    /// Returns the status of the replica after it stopped, in which it neither
    /// leads nor serves.
    pub(crate) fn stopped(&self) -> Status {
        let mut core = self.core.clone();
        core.leader = None;
        core.role = match core.role {
            Role::Leader | Role::Candidate => Role::Follower,
            other => other,
        };
        Status {
            core,
            serves_until: None,
            leader_lease_until: None,
        }
    }

    /// Whether this member may serve requests at `now`.
    pub fn in_service(&self, now: BootTime) -> bool {
        self.serves_until.is_some_and(|until| now < until)
    }

    /// Time until which the member may serve without hearing from the leader
    /// again.
    pub fn serves_until(&self) -> Option<BootTime> {
        self.serves_until
    }

    /// Role of the member.
    pub fn role(&self) -> Role {
        self.core.role
    }

    /// Whether, at `now`, this member is certain to be the only leader and to
    /// know all committed entries. The second condition is not part of
    /// [`Core::holds_leader_lease_at`](crate::Core::holds_leader_lease_at).
    pub fn holds_leader_lease(&self, now: BootTime) -> bool {
        self.leader_lease_until.is_some_and(|until| now < until)
    }

    /// Whether the member considers itself the leader. Another leader may have
    /// been elected since.
    pub fn is_leader(&self) -> bool {
        self.core.role == Role::Leader
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.core.term
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        self.core.leader
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.core.commit
    }

    /// Last entry applied.
    pub fn applied_index(&self) -> u64 {
        self.core.applied
    }

    /// All members; empty unless this member is the leader.
    pub fn members(&self) -> &[MemberStatus] {
        &self.core.members
    }
}
