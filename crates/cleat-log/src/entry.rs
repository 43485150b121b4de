//! What one frame of a segment says.

use serde::{Deserialize, Serialize, Serializer};

use crate::HardState;

/// The last record that a snapshot contains; index 0 means that there is no snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Base {
    /// That record's index.
    pub(crate) index: u64,
    /// That record's term.
    pub(crate) term: u64,
}

/// One frame. The order of the variants is part of the format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Entry<'a> {
    /// The start of a chain: everything before is in the snapshot.
    Base(Base),
    /// A new term or vote.
    HardState(HardState),
    /// Every record from this index on is void.
    TruncateFrom(u64),
    /// The next record.
    Append {
        /// See [`Record::index`](crate::Record::index).
        index: u64,
        /// See [`Record::term`](crate::Record::term).
        term: u64,
        /// See [`Record::payload`](crate::Record::payload).
        #[serde(borrow, serialize_with = "as_bytes")]
        payload: &'a [u8],
    },
}

/// Writes the bytes in one step instead of one by one; the encoding is the same.
fn as_bytes<S: Serializer>(payload: &&[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(payload)
}
