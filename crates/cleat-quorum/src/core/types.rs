//! The data that members agree on: members, entries and snapshot images.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of a member, the same on every instance: derived from its name, or
/// from its address where the settings do not list the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// A position in the replicated log, counted from 1.
pub type LogIndex = u64;

/// The position that the genesis takes; the first entry follows it.
pub const BOOTSTRAP_INDEX: LogIndex = 1;

/// An election term; 0 before the first election.
pub type Term = u64;

/// One member as the log records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The key of the member.
    pub id: MemberId,
    /// The identity of the disk that holds the member's votes.
    ///
    /// Invariant: an identity is never reused, so a member whose own identity
    /// differs has lost its memory of its votes and must not vote. It is 0
    /// for a learner that was never heard from.
    pub identity: u64,
    /// Whether the member votes; otherwise it is a learner.
    pub votes: bool,
}

/// The members of the group at some point of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters and learners. Invariant: ids are unique.
    pub members: Vec<Member>,
    /// Members that were removed. A new leader still waits for the leases
    /// that they may hold.
    pub retired: Vec<MemberId>,
}

impl Membership {
    /// The record of a member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// All members that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.votes)
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the member with this identity votes.
    pub fn is_voter(&self, id: MemberId, identity: u64) -> bool {
        self.get(id)
            .is_some_and(|member| member.votes && member.identity == identity)
    }

    /// This membership with one member added or replaced.
    pub(crate) fn with(&self, member: Member) -> Membership {
        let mut next = self.clone();
        next.retired.retain(|id| *id != member.id);
        match next.members.iter_mut().find(|old| old.id == member.id) {
            Some(old) => *old = member,
            None => next.members.push(member),
        }
        next
    }

    /// This membership with one member removed.
    pub(crate) fn without(&self, id: MemberId) -> Membership {
        let mut next = self.clone();
        next.members.retain(|member| member.id != id);
        next.retired.push(id);
        next
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader, which commits those before it.
    Noop,
    /// An opaque command for the state machine.
    Command(Arc<[u8]>),
    /// A new membership; it counts from the moment it is appended.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position of the entry.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

/// The state of the group after one entry; it replaces the log up to there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot contains; [`BOOTSTRAP_INDEX`] for the genesis.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The group that was formed by the genesis; never 0.
    pub group: u32,
    /// The membership after that entry.
    pub membership: Membership,
    /// The state machine after that entry; empty for the genesis.
    pub data: Arc<[u8]>,
}

/// The term and the vote, which must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The candidate that got this member's vote in that term.
    pub voted_for: Option<MemberId>,
}
