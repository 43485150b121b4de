//! What one instance asks of another.

use cleat_quorum::Message;
use cleat_world::{Answer, CommandBody};
use serde::{Deserialize, Serialize};

use crate::Refusal;

/// A command that was committed and applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposed {
    /// Its log index.
    pub index: u64,
    /// What it came to.
    pub answer: Answer,
}

/// The renewal of a target's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The target.
    pub name: Box<str>,
    /// The announcement that is renewed.
    pub incarnation: u64,
}

/// What came of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewalOutcome {
    /// The lease runs anew.
    Renewed,
    /// The leader knows no such announcement: announce again.
    NotKnown,
}

/// What the leader knows of one instance of the system's own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The instance's name.
    pub name: Box<str>,
    /// The last log index it reported as in force.
    pub applied: u64,
    /// Whether it may hold a lease.
    pub lease_live: bool,
    /// Whether it votes.
    pub votes: bool,
}

/// A message about the slots of one service's targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotMessage {
    /// The service.
    pub service: Box<str>,
    /// What one instance says to the other.
    pub message: cleat_decide::Message,
}

/// Why another instance did not do what it was asked. The leader goes by name.
pub type PeerError = Refusal<Box<str>>;

/// The service that each instance offers to the others.
#[tarpc::service]
pub trait Peer {
    /// Takes consensus messages; their answers are messages of their own.
    async fn deliver(messages: Vec<Message>);

    /// Takes messages about slots of the instance `from`; their answers are
    /// messages of their own.
    async fn slots(from: Box<str>, messages: Vec<SlotMessage>);

    /// Proposes a command; the leader answers once it is applied.
    async fn propose(body: CommandBody) -> Result<Proposed, PeerError>;

    /// Answers once `index` is in force on every instance with a lease.
    async fn wait_in_force(index: u64) -> Result<(), PeerError>;

    /// A log index that covers every command committed before the call.
    async fn read_index() -> Result<u64, PeerError>;

    /// Renews the leases of targets; the outcomes are in the order asked.
    async fn renew(renewals: Vec<Renewal>) -> Result<Vec<RenewalOutcome>, PeerError>;

    /// What the leader knows of every instance.
    async fn members() -> Result<Vec<MemberReport>, PeerError>;
}
