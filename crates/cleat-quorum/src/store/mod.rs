//! Storage of a member's term, vote, entries and snapshot.

mod journal;
mod memory;

use std::error::Error;

use snafu::Snafu;

use crate::core::Write;

pub use journal::{DecodeError, JournalStore, recover};
pub use memory::MemoryStore;

/// A disk or a substitute for one. The methods may block.
pub trait Store: Send + 'static {
    /// Executes a write, which becomes durable at the next
    /// [`sync`](Store::sync).
    ///
    /// # Errors
    /// Any error stops the replica, since the state of the disk is then
    /// unknown.
    fn write(&mut self, write: &Write) -> Result<(), StoreError>;

    /// Makes all preceding writes durable.
    ///
    /// # Errors
    /// See [`write`](Store::write).
    fn sync(&mut self) -> Result<(), StoreError>;
}

/// A disk operation failed. Stop the instance, repair the disk, then start it
/// again.
#[derive(Debug, Snafu)]
#[snafu(display("a disk operation of the replicated log failed: {source}"))]
pub struct StoreError {
    source: Box<dyn Error + Send + Sync>,
}

impl StoreError {
    /// Wraps an error of the store.
    pub fn new(source: impl Error + Send + Sync + 'static) -> StoreError {
        let source = Box::new(source);
        StoreError { source }
    }
}
