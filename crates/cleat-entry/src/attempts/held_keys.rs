//! The idempotency keys that requests of this entry hold now.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Keys in hand, from before the claim until its settlement stands.
///
/// The replicated table tells claims of one key apart by entry and life only.
/// So this entry may have one request with a key at a time: the settlement of
/// a second would else end the claim of the first.
#[derive(Debug)]
pub(crate) struct HeldKeys {
    /// Invariant: at most `most`.
    keys: Mutex<HashSet<Box<str>>>,
    max: usize,
}

/// Why a key can't be taken in hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AcquireError {
    /// Another request of this entry holds it.
    InUse,
    /// Too many keys are in hand.
    Full,
}

impl HeldKeys {
    pub(crate) fn new(max: usize) -> Arc<HeldKeys> {
        Arc::new(HeldKeys {
            keys: Mutex::new(HashSet::new()),
            max,
        })
    }

    /// Whether no settlement is still to come.
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

/// One key, let go when dropped.
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
