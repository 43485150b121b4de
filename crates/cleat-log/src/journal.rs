//! The running journal.

use std::path::Path;

use crate::{HardState, OpenError, Record, Recovered, Snapshot, WriteError};

/// The largest payload of a record, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// An open data folder. Dropping it releases the folder; what was not synced may be lost.
///
/// Every method blocks on the disk; call it from a thread that may wait.
#[derive(Debug)]
pub struct Journal {}

impl Journal {
    /// Opens or makes `folder` for the instance `owner`.
    ///
    /// # Errors
    /// See [`OpenError`].
    pub fn open(_folder: &Path, _owner: &str) -> Result<(Journal, Recovered), OpenError> {
        unimplemented!()
    }

    /// Adds records after the last one. Durable after the next [`sync`](Self::sync).
    ///
    /// # Errors
    /// See [`WriteError`].
    pub fn append(&mut self, _records: &[Record]) -> Result<(), WriteError> {
        unimplemented!()
    }

    /// Removes every record from `index` on. Durable after the next [`sync`](Self::sync).
    ///
    /// # Errors
    /// See [`WriteError`].
    pub fn truncate_from(&mut self, _index: u64) -> Result<(), WriteError> {
        unimplemented!()
    }

    /// Replaces the term and vote. Durable after the next [`sync`](Self::sync).
    ///
    /// # Errors
    /// See [`WriteError`].
    pub fn set_hard_state(&mut self, _state: HardState) -> Result<(), WriteError> {
        unimplemented!()
    }

    /// Makes every change so far durable, with one fsync.
    ///
    /// # Errors
    /// See [`WriteError`].
    pub fn sync(&mut self) -> Result<(), WriteError> {
        unimplemented!()
    }

    /// Makes `snapshot` durable, together with every change so far, and then drops the
    /// records up to its index.
    ///
    /// # Errors
    /// See [`WriteError`].
    pub fn save_snapshot(&mut self, _snapshot: &Snapshot) -> Result<(), WriteError> {
        unimplemented!()
    }
}
