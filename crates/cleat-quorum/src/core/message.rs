//! What members say to each other; encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::types::{Entry, LogIndex, MemberId, Snapshot, Term};

/// One message between two members. It may be lost, duplicated, delayed or
/// reordered without harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The group of the sender; 0 while it belongs to none.
    #[serde(with = "postcard::fixint::le")]
    pub group: u32,
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The sender's term, or the term that a pre-vote is about.
    pub term: Term,
    /// What is said.
    pub body: Body,
}

/// A member's stamp on its acknowledgements: which incarnation, and which send in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStamp {
    /// Drawn at random when the process started.
    #[serde(with = "postcard::fixint::le")]
    pub incarnation: u32,
    /// Counts the sends of this incarnation from 1.
    pub seq: u32,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A heartbeat, with or without entries.
    Append(Append),
    /// The answer to [`Append`] and [`InstallSnapshot`].
    Ack(Ack),
    /// A candidate asks for a vote or a pre-vote.
    VoteRequest(VoteRequest),
    /// The answer to [`VoteRequest`].
    VoteReply(VoteReply),
    /// A snapshot for a member whose entries are no longer in the log.
    InstallSnapshot(InstallSnapshot),
    /// An unformed voter asks the others who they are, or one of them answers.
    Hello(Hello),
    /// The first state of the group.
    Bootstrap(Snapshot),
    /// A member gives up its lease before a graceful stop.
    ReleaseLease(LeaseStamp),
    /// The leader of this term hands its lead over: the receiver is to stand
    /// for election at once.
    TimeoutNow,
    /// A member that belongs to no group, or that no leader speaks to, asks
    /// to be taken in. Whoever gets it passes it on to its leader.
    Join(MemberId),
}

/// The entries after `prev_index`, the commit index, and the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Counts the leader's sends; the acknowledgement repeats it.
    pub round: u64,
    /// The entry before the first of `entries`.
    pub prev_index: LogIndex,
    /// The term of that entry.
    pub prev_term: Term,
    /// The leader's commit index.
    pub commit: LogIndex,
    /// The highest stamp the leader got from the receiver; renews its lease.
    pub echo: Option<LeaseStamp>,
    /// Consecutive entries; empty for a plain heartbeat.
    pub entries: Vec<Entry>,
}

/// The round of an acknowledgement that answers nothing. From a learner it
/// asks the leader to renew the lease at once.
pub(crate) const NO_ROUND: u64 = 0;

/// What a member holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The round that is acknowledged; 0 if none is.
    pub round: u64,
    /// The identity of the sender's disk.
    #[serde(with = "postcard::fixint::le")]
    pub identity: u64,
    /// The sender's stamp for its lease.
    pub stamp: LeaseStamp,
    /// The last entry that the sender applied.
    pub applied: LogIndex,
    /// Whether its log agrees with the leader's.
    pub outcome: AckOutcome,
}

/// Whether the receiver's log agrees with the leader's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AckOutcome {
    /// All entries up to this one agree and are synced.
    Matched(LogIndex),
    /// The entry before the sent ones is missing or differs; try from here.
    Mismatch(LogIndex),
    /// The sender belongs to no group yet and needs a snapshot.
    Uninitialized,
}

/// A request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Only asks whether a vote would be granted; binds nobody.
    pub pre: bool,
    /// The leader of the term before gave its lead up for this candidate, so
    /// no live leader relies on the receiver to refuse.
    pub transfer: bool,
    /// The candidate's last entry.
    pub last_index: LogIndex,
    /// The term of that entry.
    pub last_term: Term,
    /// The receiver's identity in the candidate's membership.
    pub voter_identity: u64,
}

/// The answer to a request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Whether it answers a pre-vote.
    pub pre: bool,
    /// Whether the vote is granted; the message's term is then the candidate's.
    pub granted: bool,
    /// The identity of the voter's disk.
    pub identity: u64,
}

/// A whole snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// As in [`Append`].
    pub round: u64,
    /// As in [`Append`].
    pub commit: LogIndex,
    /// As in [`Append`].
    pub echo: Option<LeaseStamp>,
    /// The state up to some committed entry.
    pub snapshot: Snapshot,
}

/// Who a voter is, for the formation of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The identity of the sender's disk.
    pub identity: u64,
    /// Whether the sender belongs to no group yet.
    pub uninitialized: bool,
    /// The identity that asked. An answer to an earlier identity is void, so
    /// a delayed answer can't found a second group.
    pub in_reply_to: Option<u64>,
}
