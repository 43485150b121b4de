//! Inputs and outputs of a core.

use std::sync::Arc;

use snafu::Snafu;

use super::message::Message;
use super::types::{Entry, HardState, LogIndex, MemberId, Snapshot, Term};

/// Sequence number of a sync in one incarnation, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SyncId(pub u64);

/// An input to the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time returned by [`deadline`](super::Core::deadline) was reached.
    Tick,
    /// A message was received.
    Receive(Message),
    /// All writes up to this sync are durable.
    Synced(SyncId),
    /// Append these commands as one batch.
    Propose(Vec<Arc<[u8]>>),
    /// Start a linearizable read under an identifier that the caller chooses.
    Read(u64),
    /// Delivers the state machine snapshot requested by
    /// [`Effect::TakeSnapshot`].
    SnapshotTaken {
        /// Last entry included in the snapshot.
        index: LogIndex,
        /// Serialized state machine.
        data: Arc<[u8]>,
    },
    /// Remove a member permanently.
    RemoveMember(MemberId),
    /// Prepare to stop: a leader rejects further proposals and transfers
    /// leadership. This can't be undone within the term.
    TransferLeadership,
    /// Release this member's lease before it stops.
    ReleaseLease,
}

/// A change to the member's disk. Writes must be executed in order.
#[derive(Clone, Debug)]
pub enum Write {
    /// Append consecutive entries.
    Append(Vec<Entry>),
    /// Delete this entry and all entries after it.
    TruncateFrom(LogIndex),
    /// Replace the term and vote.
    HardState(HardState),
    /// Save a snapshot, then delete the entries up to its index.
    Snapshot(Arc<Snapshot>),
}

/// An action for the driver. Effects must be executed in order and before the
/// next step.
///
/// The core defers a message that depends on a write until [`Event::Synced`]
/// confirms the sync that covers the write. The driver may therefore execute
/// every `Send` immediately.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write to the disk.
    Write(Write),
    /// Sync all preceding writes, then report [`Event::Synced`].
    Sync(SyncId),
    /// Send a message.
    Send(Message),
    /// Apply a committed command to the state machine.
    Apply {
        /// Position of the command.
        index: LogIndex,
        /// Term of the command; a proposer compares it to recognize its own
        /// command.
        term: Term,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Replace the state machine with a snapshot.
    Restore(Arc<Snapshot>),
    /// Take a snapshot of the current state machine.
    TakeSnapshot(LogIndex),
    /// The proposed commands were appended at consecutive positions.
    Accepted {
        /// Position of the first command.
        first: LogIndex,
        /// Term of all the commands.
        term: Term,
    },
    /// The proposal or membership change was rejected.
    Rejected(Rejection),
    /// The read may proceed once this entry is applied.
    ReadReady {
        /// Identifier of the read.
        id: u64,
        /// Entry that must be applied first.
        index: LogIndex,
    },
    /// This member can't confirm the read.
    ReadRejected {
        /// Identifier of the read.
        id: u64,
        /// Reason for the rejection.
        rejection: Rejection,
    },
    /// This member is no longer the leader. The outcome of its uncommitted
    /// proposals is unknown.
    LostLeadership,
}

/// Reason why a proposal, a read or a removal was rejected. No state was
/// changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// This member is not the leader. Retry on the leader, if one is known.
    #[snafu(display("this member is not the leader"))]
    NotLeader {
        /// Leader of the current term, if known.
        leader: Option<MemberId>,
    },
    /// The leader can't reach a majority of the voters. Retry later.
    #[snafu(display("the leader can't reach a majority of the voters"))]
    NoQuorum,
    /// Too many commands are uncommitted, or another membership change is in
    /// progress. Retry later.
    #[snafu(display("too many uncommitted commands, or a membership change is in progress"))]
    Busy,
    /// A command exceeds the size limit.
    #[snafu(display("the command size of {size} bytes exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Size of the command in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
}
