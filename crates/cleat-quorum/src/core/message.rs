//! Messages between members, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::types::{Entry, LogIndex, MemberId, Snapshot, Term};

/// A message between two members. The protocol tolerates lost, duplicated,
/// delayed and reordered messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Group of the sender; 0 while the sender is uninitialized.
    #[serde(with = "postcard::fixint::le")]
    pub group: u32,
    /// Sender.
    pub from: MemberId,
    /// Receiver.
    pub to: MemberId,
    /// Term of the sender, or the prospective term of a pre-vote.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Identifies one acknowledgement by the sender's incarnation and a sequence
/// number. The leader echoes it to renew the sender's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStamp {
    /// Incarnation of the sender, drawn at random when its process started.
    #[serde(with = "postcard::fixint::le")]
    pub incarnation: u32,
    /// Sequence number of the acknowledgement in this incarnation, from 1.
    pub seq: u32,
}

/// Message types.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Heartbeat, with or without entries.
    Append(Append),
    /// Acknowledges an [`Append`] or [`InstallSnapshot`].
    Ack(Ack),
    /// Requests a vote or a pre-vote.
    VoteRequest(VoteRequest),
    /// Answers a [`VoteRequest`].
    VoteReply(VoteReply),
    /// Snapshot for a member that needs entries that are no longer in the log.
    InstallSnapshot(InstallSnapshot),
    /// Sent by an uninitialized voter to learn the state of the other voters,
    /// and by those voters in reply.
    Hello(Hello),
    /// Bootstrap snapshot of a new group.
    Bootstrap(Snapshot),
    /// Releases the sender's lease before a graceful stop.
    ReleaseLease(LeaseStamp),
    /// Sent by the leader of this term to transfer leadership: the receiver
    /// starts an election at once.
    TimeoutNow,
    /// Requests that the given member be added to the group. Sent by a member
    /// that is uninitialized or hears from no leader; receivers forward it to
    /// their leader.
    Join(MemberId),
}

/// Entries after `prev_index`, the commit index and a lease renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Number of the round, which the leader increments for each send to one or
    /// more members. The acknowledgement repeats it.
    pub round: u64,
    /// Index of the entry before the first of `entries`.
    pub prev_index: LogIndex,
    /// Term of that entry.
    pub prev_term: Term,
    /// Commit index of the leader.
    pub commit: LogIndex,
    /// Highest stamp that the leader received from the receiver; renews its
    /// lease.
    pub echo: Option<LeaseStamp>,
    /// Consecutive entries; empty for a plain heartbeat.
    pub entries: Vec<Entry>,
}

/// Round of an unsolicited acknowledgement. From a learner, it requests an
/// immediate lease renewal.
pub(crate) const NO_ROUND: u64 = 0;

/// Reports the state of a member's log to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Round that is acknowledged; 0 if the acknowledgement is unsolicited.
    pub round: u64,
    /// Disk identity of the sender.
    #[serde(with = "postcard::fixint::le")]
    pub identity: u64,
    /// Stamp that the leader echoes to renew the sender's lease.
    pub stamp: LeaseStamp,
    /// Last entry that the sender has applied.
    pub applied: LogIndex,
    /// Whether the sender's log matches the leader's.
    pub outcome: AckOutcome,
}

/// Whether the log of the acknowledging member matches the leader's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AckOutcome {
    /// All entries up to this index match and are synced.
    Matched(LogIndex),
    /// The entry at `prev_index` is missing or differs; retry from this index.
    Mismatch(LogIndex),
    /// The sender belongs to no group yet and needs a snapshot.
    Uninitialized,
}

/// Request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which changes no state on the receiver.
    pub pre: bool,
    /// Whether the leader of the previous term transferred leadership to this
    /// candidate. The leader lease relies on voters to reject other candidates.
    /// The transfer ended that leader's lease, so the receiver need not reject
    /// this one.
    pub transfer: bool,
    /// Last entry in the candidate's log.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Receiver's disk identity according to the candidate's membership.
    pub voter_identity: u64,
}

/// Reply to a vote request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Whether this answers a pre-vote.
    pub pre: bool,
    /// Whether the vote is granted; if so, the message carries the candidate's
    /// term.
    pub granted: bool,
    /// Disk identity of the voter.
    pub identity: u64,
}

/// A complete snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// See [`Append::round`].
    pub round: u64,
    /// See [`Append::commit`].
    pub commit: LogIndex,
    /// See [`Append::echo`].
    pub echo: Option<LeaseStamp>,
    /// State as of some committed entry.
    pub snapshot: Snapshot,
}

/// State of a voter, exchanged while bootstrapping a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Disk identity of the sender.
    pub identity: u64,
    /// Whether the sender belongs to no group yet.
    pub uninitialized: bool,
    /// In a reply, the disk identity that sent the request. A reply to an
    /// earlier identity is ignored, so that a delayed reply can't bootstrap a
    /// second group.
    pub in_reply_to: Option<u64>,
}
