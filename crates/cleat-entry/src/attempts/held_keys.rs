//! The idempotency keys held by requests of this entry.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The keys held, each from before its claim until its settlement is committed.
///
/// The replicated table distinguishes claims of the same key only by entry and
/// incarnation. Therefore only one request of this entry may hold a key at a
/// time: the settlement of a second one would end the claim of the first.
#[derive(Debug)]
pub(crate) struct HeldKeys {
    /// Invariant: at most `max` keys.
    keys: Mutex<HashSet<Box<str>>>,
    max: usize,
}

/// Why a key could not be acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcquireError {
    /// Another request of this entry holds it.
    InUse,
    /// Too many keys are held.
    Full,
}

impl HeldKeys {
    pub(crate) fn new(max: usize) -> Arc<HeldKeys> {
        Arc::new(HeldKeys {
            keys: Mutex::new(HashSet::new()),
            max,
        })
    }

    /// Whether no settlement is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    pub(super) fn acquire(self: &Arc<Self>, key: &str) -> Result<HeldKey, AcquireError> {
        let mut keys = self.lock();
        if keys.contains(key) {
            return Err(AcquireError::InUse);
        }
        if keys.len() >= self.max {
            return Err(AcquireError::Full);
        }
        keys.insert(key.into());
        Ok(HeldKey {
            held_keys: Arc::clone(self),
            key: key.into(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<Box<str>>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A held key, released when dropped.
#[derive(Debug)]
pub(super) struct HeldKey {
    held_keys: Arc<HeldKeys>,
    key: Box<str>,
}

impl Drop for HeldKey {
    fn drop(&mut self) {
        self.held_keys.lock().remove(&self.key);
    }
}
