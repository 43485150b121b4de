//! The store of a member without a disk.

use super::{Store, StoreError};
use crate::core::Write;

/// Keeps nothing: the member starts empty in each incarnation, under a new identity.
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
