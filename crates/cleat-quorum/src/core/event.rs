//! What goes into a core and what comes out.

use std::sync::Arc;

use snafu::Snafu;

use super::message::Message;
use super::types::{Entry, HardState, LogIndex, MemberId, Snapshot, Term};

/// Numbers the syncs of one incarnation, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SyncId(pub u64);

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due when [`deadline`](super::Core::deadline) is reached.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// All writes up to this sync are on the disk.
    Synced(SyncId),
    /// Commands to append, as one group.
    Propose(Vec<Arc<[u8]>>),
    /// A linearizable read; the caller chooses the number.
    Read(u64),
    /// The state machine's snapshot that [`Effect::TakeSnapshot`] asked for.
    SnapshotTaken {
        /// The last entry in it.
        index: LogIndex,
        /// The state.
        data: Arc<[u8]>,
    },
    /// An operator removes a member for good.
    RemoveMember(MemberId),
    /// This member is about to stop: if it leads, it takes no more commands
    /// and hands its lead over. There is no way back within the term.
    TransferLeadership,
    /// This member is about to stop and gives up its lease.
    ReleaseLease,
}

/// A change to the member's disk. Writes are carried out in order.
#[derive(Clone, Debug)]
pub enum Write {
    /// Append consecutive entries.
    Append(Vec<Entry>),
    /// Drop this entry and all after it.
    TruncateFrom(LogIndex),
    /// Replace the term and vote.
    HardState(HardState),
    /// Save a snapshot, then drop the entries up to its index.
    Snapshot(Arc<Snapshot>),
}

/// What has to be done, in order, and before the next step.
///
/// A message that rests on a write is not among the effects of the step that
/// wrote: the core holds it back until [`Event::Synced`] confirms the sync_id
/// and sends it in that step. So every `Send` may leave at once.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Change the disk.
    Write(Write),
    /// Sync all writes before it, then report [`Event::Synced`].
    Sync(SyncId),
    /// Send a message.
    Send(Message),
    /// Apply a committed command.
    Apply {
        /// Its position.
        index: LogIndex,
        /// Its term, which tells a proposer whether it is its own.
        term: Term,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Replace the state machine by a snapshot.
    Restore(Arc<Snapshot>),
    /// Take a snapshot of the state machine as it is now.
    TakeSnapshot(LogIndex),
    /// The proposed commands have consecutive positions from `first`.
    Accepted {
        /// The position of the first command.
        first: LogIndex,
        /// The term of them all.
        term: Term,
    },
    /// The proposal was not appended.
    Rejected(Rejection),
    /// The read may go on once this entry is applied.
    ReadReady {
        /// The number of the read.
        id: u64,
        /// The entry.
        index: LogIndex,
    },
    /// The read can't be confirmed here.
    ReadRejected {
        /// The number of the read.
        id: u64,
        /// Why.
        rejection: Rejection,
    },
    /// This member no longer leads; its uncommitted proposals are in doubt.
    LostLeadership,
}

/// Why a proposal, a read or a removal was not taken. Nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// This member does not lead. Ask the leader, if one is known.
    #[snafu(display("this member does not lead the group"))]
    NotLeader {
        /// The leader as far as it is known.
        leader: Option<MemberId>,
    },
    /// The leader reaches no majority of the voters. Try again later.
    #[snafu(display("the leader reaches no majority of the voters"))]
    NoQuorum,
    /// Too much is uncommitted. Try again later.
    #[snafu(display("too many commands wait to be committed"))]
    Busy,
    /// A command is larger than the limit. Make it smaller.
    #[snafu(display("the command has {size} bytes, more than the limit of {limit}"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
}
