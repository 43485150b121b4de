//! Small keys for the names of pools, for walks over all steps.

use crate::collections::IndexSet;

/// The index of a pool's name. Indexes are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolKey(usize);

impl PoolKey {
    pub(crate) fn index(self) -> usize {
        self.0
    }
}

/// The names of the pools that have had steps.
#[derive(Debug, Default)]
pub(crate) struct PoolNames(IndexSet<Box<str>>);

impl PoolNames {
    /// The key of a name, which is added if it is new.
    pub(crate) fn key(&mut self, name: &str) -> PoolKey {
        let known = self.0.get_index_of(name);
        PoolKey(known.unwrap_or_else(|| self.0.insert_full(name.into()).0))
    }

    /// The names in the order of their keys.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|name| &**name)
    }
}
