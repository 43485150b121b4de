//! The running journal.

mod open;
#[cfg(test)]
mod tests;
mod write;

use std::fs::File;
use std::path::{Path, PathBuf};

use crate::entry::Base;
use crate::{HardState, OpenError, Record, Recovered, Snapshot, WriteError};

/// The largest payload of a record, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;
/// The length in bytes from which on a segment gets no more frames.
pub const SEGMENT_BYTES: u64 = 16 << 20;

/// An open data folder. Dropping it releases the folder; what was not synced may be lost.
///
/// Every method blocks on the disk; call it from a thread that may wait.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    /// The folder itself, open for its lock.
    _lock: File,
    /// The last segment.
    file: File,
    /// The number of the last segment.
    seq: u64,
    /// The number of the chain's first segment.
    first: u64,
    /// Bytes of the last segment that are written, not counting `buf`.
    length: u64,
    /// Frames not yet written.
    buf: Vec<u8>,
    /// Whether anything was written since the last fsync.
    dirty: bool,
    hard_state: HardState,
    base: Base,
    /// Index of the last record, or the base's. Invariant: never below the base's.
    last_index: u64,
    /// See [`SEGMENT_BYTES`].
    segment_bytes: u64,
    /// Set by the first failed write; the disk's content is unknown from then on.
    poisoned: bool,
}

impl Journal {
    /// Opens or makes `folder` for the instance `owner`.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(folder: &Path, owner: &str) -> Result<(Journal, Recovered), OpenError> {
        Self::open_with(folder, owner, SEGMENT_BYTES)
    }

    /// As [`open`](Self::open), with segments of another length in bytes.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open_with(
        folder: &Path,
        owner: &str,
        segment_bytes: u64,
    ) -> Result<(Journal, Recovered), OpenError> {
        open::open(folder, owner, segment_bytes)
    }

    /// Adds records after the last one. Durable after the next [`sync`](Self::sync).
    ///
    /// # Errors
    /// See [`WriteError`]. Records before the one at fault are taken.
    pub fn append(&mut self, records: &[Record]) -> Result<(), WriteError> {
        self.unless_poisoned(|journal| journal.append_each(records))
    }

    /// Removes every record from `index` on. Durable after the next [`sync`](Self::sync).
    ///
    /// # Errors
    /// See [`WriteError`]; records within the snapshot can't be removed.
    pub fn truncate_from(&mut self, index: u64) -> Result<(), WriteError> {
        self.unless_poisoned(|journal| journal.truncate(index))
    }

    /// Replaces the term and vote. Durable after the next [`sync`](Self::sync).
    ///
    /// # Errors
    /// See [`WriteError`].
    pub fn set_hard_state(&mut self, state: HardState) -> Result<(), WriteError> {
        self.unless_poisoned(|journal| journal.replace_hard_state(state))
    }

    /// Makes every change so far durable, with one fsync.
    ///
    /// # Errors
    /// See [`WriteError`].
    pub fn sync(&mut self) -> Result<(), WriteError> {
        self.unless_poisoned(Self::flush_and_sync)
    }

    /// Makes `snapshot` durable, together with every change so far, and then drops the
    /// records up to its index. Records after it stay if they continue it; they are
    /// written anew, so their number should be small.
    ///
    /// # Errors
    /// See [`WriteError`]; the snapshot has to be newer than the last one.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), WriteError> {
        self.unless_poisoned(|journal| journal.replace_snapshot(snapshot))
    }
}
