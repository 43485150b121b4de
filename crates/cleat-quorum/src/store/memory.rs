//! Store for members without a disk.

use super::{Store, StoreError};
use crate::core::Write;

/// Stores nothing: each incarnation starts empty, under a new identity.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryStore;

impl Store for MemoryStore {
    fn write(&mut self, _: &Write) -> Result<(), StoreError> {
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        Ok(())
    }
}
