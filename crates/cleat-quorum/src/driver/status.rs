//! The state of a replica as others see it.

use super::clock::BootTime;
use crate::core::{CoreStatus, MemberId, MemberStatus, Role, Term};

/// The state of a replica after its last step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    core: CoreStatus,
    serves_until: Option<BootTime>,
    leader_lease_until: Option<BootTime>,
}

impl Status {
    pub(crate) fn new(core: CoreStatus, origin: BootTime) -> Status {
        let serves_until = core.serves_until.map(|until| origin + until);
        let leader_lease_until = core.leader_lease_until.map(|until| origin + until);
        Status {
            core,
            serves_until,
            leader_lease_until,
        }
    }

    /// The status of a replica that stopped: it neither leads nor serves.
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

    /// Until when it may serve without hearing from the leader again.
    pub fn serves_until(&self) -> Option<BootTime> {
        self.serves_until
    }

    /// The part that the member plays.
    pub fn role(&self) -> Role {
        self.core.role
    }

    /// Whether it is certain, at `now`, to be the only leader, and to know of
    /// all that was committed.
    pub fn holds_leader_lease(&self, now: BootTime) -> bool {
        self.leader_lease_until.is_some_and(|until| now < until)
    }

    /// Whether it leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.core.role == Role::Leader
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.core.term
    }

    /// The leader as far as it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.core.leader
    }

    /// The last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.core.commit
    }

    /// The last entry applied.
    pub fn applied_index(&self) -> u64 {
        self.core.applied
    }

    /// All members; only on the leader.
    pub fn members(&self) -> &[MemberStatus] {
        &self.core.members
    }
}
