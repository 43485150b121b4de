//! The idempotency keys that requests of this entry hold now.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Keys in hand, from before the claim until its settlement stands.
///
/// The replicated table tells claims of one key apart by entry and life only.
/// So this entry may have one request with a key at a time: the settlement of
/// a second would else end the claim of the first.
#[derive(Debug)]
pub(crate) struct KeysInHand {
    /// Invariant: at most `most`.
    keys: Mutex<HashSet<Box<str>>>,
    most: usize,
}

/// Why a key can't be taken in hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refused {
    /// Another request of this entry holds it.
    Held,
    /// Too many keys are in hand.
    Full,
}

impl KeysInHand {
    pub(crate) fn new(most: usize) -> Arc<KeysInHand> {
        Arc::new(KeysInHand {
            keys: Mutex::new(HashSet::new()),
            most,
        })
    }

    /// Whether no settlement is still to come.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    pub(super) fn take(self: &Arc<Self>, key: &str) -> Result<InHand, Refused> {
        let mut keys = self.lock();
        if keys.contains(key) {
            return Err(Refused::Held);
        }
        if keys.len() >= self.most {
            return Err(Refused::Full);
        }
        keys.insert(key.into());
        Ok(InHand {
            all: Arc::clone(self),
            key: key.into(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<Box<str>>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One key, let go when dropped.
#[derive(Debug)]
pub(super) struct InHand {
    all: Arc<KeysInHand>,
    key: Box<str>,
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.all.lock().remove(&self.key);
    }
}
