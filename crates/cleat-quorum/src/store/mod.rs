//! Where a member's term, vote, entries and snapshot are kept.

mod journal;
mod memory;

use std::error::Error;

use snafu::Snafu;

use crate::core::Write;

pub use journal::{DecodeError, JournalStore, recover};
pub use memory::MemoryStore;

/// A disk, or what stands in for one. Its methods may block.
pub trait Store: Send + 'static {
    /// Carries out a write; it is durable after the next [`sync`](Store::sync).
    ///
    /// # Errors
    /// Any error ends the replica, since what the disk holds is then unknown.
    fn write(&mut self, write: &Write) -> Result<(), StoreError>;

    /// Makes all writes so far durable.
    ///
    /// # Errors
    /// As for [`write`](Store::write).
    fn sync(&mut self) -> Result<(), StoreError>;
}

/// The disk failed. Stop the instance, see to the disk, start again.
#[derive(Debug, Snafu)]
#[snafu(display("the disk of the replicated log failed: {source}"))]
pub struct StoreError {
    source: Box<dyn Error + Send + Sync>,
}

impl StoreError {
    /// Wraps the store's own error.
    pub fn new(source: impl Error + Send + Sync + 'static) -> StoreError {
        let source = Box::new(source);
        StoreError { source }
    }
}
