//! What the journal keeps and what it gives back.

use serde::{Deserialize, Serialize};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the log, counted from 1 without gaps.
    pub index: u64,
    /// The election term in which a leader wrote it.
    pub term: u64,
    /// The command, opaque here. At most [`MAX_PAYLOAD_BYTES`](crate::MAX_PAYLOAD_BYTES).
    pub payload: Box<[u8]>,
}

/// What a voter must remember before it answers a vote.
///
/// Invariant: `term` never falls, and within one term a vote once given never changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term this instance has seen.
    pub term: u64,
    /// Who got this instance's vote in `term`, if anyone.
    pub voted_for: Option<u32>,
}

/// The state that results from every record up to `index`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The last record it contains.
    pub index: u64,
    /// That record's term.
    pub term: u64,
    /// The state, opaque here.
    pub data: Box<[u8]>,
}

/// What a folder held when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// The last term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The records after the snapshot, in order, without gaps.
    pub records: Vec<Record>,
    /// A random number made together with the folder. A member that comes back
    /// with another identity has lost its disk, and with it the memory of its votes.
    pub identity: u64,
    /// Whether this open made the folder's identity.
    pub fresh: bool,
    /// Length in bytes of the incomplete write cut off the end of the last segment.
    /// Nothing in it was ever acknowledged by a sync.
    pub cut_bytes: u64,
}
