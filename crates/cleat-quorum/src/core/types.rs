//! Data types that members replicate: members, entries and snapshots.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifier of a member. All instances derive the same value from the
/// member's name, or from its address if the settings don't list the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// Position in the replicated log, counted from 1.
pub type LogIndex = u64;

/// Log index of the bootstrap snapshot; the first entry follows it.
pub const BOOTSTRAP_INDEX: LogIndex = 1;

/// Election term; 0 before the first election.
pub type Term = u64;

/// A member as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the member.
    pub id: MemberId,
    /// Identity of the disk that stores the member's votes.
    ///
    /// Invariant: an identity is never reused. A member whose own identity
    /// differs from the recorded one has lost the record of its votes and must
    /// not vote. The identity is 0 for a learner that has never sent an
    /// acknowledgement.
    pub identity: u64,
    /// Whether the member is a voter; otherwise it is a learner.
    pub votes: bool,
}

/// The members of the group as of some log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters and learners. Invariant: ids are unique.
    pub members: Vec<Member>,
    /// Removed members. A new leader still waits for any leases that they may
    /// hold.
    pub retired: Vec<MemberId>,
}

impl Membership {
    /// Returns the record of a member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Iterates over the voters.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.votes)
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the member is a voter under this disk identity.
    pub fn is_voter(&self, id: MemberId, identity: u64) -> bool {
        self.get(id)
            .is_some_and(|member| member.votes && member.identity == identity)
    }

    /// Returns this membership with one member added or replaced.
    pub(crate) fn with(&self, member: Member) -> Membership {
        let mut next = self.clone();
        next.retired.retain(|id| *id != member.id);
        match next.members.iter_mut().find(|old| old.id == member.id) {
            Some(old) => *old = member,
            None => next.members.push(member),
        }
        next
    }

    /// Returns this membership with one member removed.
    pub(crate) fn without(&self, id: MemberId) -> Membership {
        let mut next = self.clone();
        next.members.retain(|member| member.id != id);
        next.retired.push(id);
        next
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader appends it to commit the entries of earlier
    /// terms.
    Noop,
    /// Opaque command for the state machine.
    Command(Arc<[u8]>),
    /// New membership. It takes effect as soon as it is appended.
    Membership(Membership),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the entry.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// State of the group as of one entry. It replaces the log up to that entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry included; [`BOOTSTRAP_INDEX`] for the bootstrap snapshot.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Identifier of the group, drawn when the group was bootstrapped; never 0.
    pub group: u32,
    /// Membership as of that entry.
    pub membership: Membership,
    /// State machine as of that entry; empty for the bootstrap snapshot.
    pub data: Arc<[u8]>,
}

/// Term and vote, which must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that received this member's vote in that term.
    pub voted_for: Option<MemberId>,
}
