//! A bound on the bytes held at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bytes that may be held at once, shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    /// Invariant: at most `limit`.
    held: AtomicUsize,
    limit: usize,
}

impl MemoryBudget {
    pub(crate) fn new(limit: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            held: AtomicUsize::new(0),
            limit,
        })
    }

    /// Sets `bytes` aside until the reservation is dropped, if they are free.
    pub(crate) fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let reserved = self
            .held
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        reserved.ok()?;
        Some(Reservation {
            memory: Arc::clone(self),
            bytes,
        })
    }

    /// The bytes held now.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }
}

/// Bytes set aside.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Ties the reservation to `bytes`, until their last clone is dropped.
    pub(crate) fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
