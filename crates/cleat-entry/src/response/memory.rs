//! A limit on the bytes in memory at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// A number of bytes, shared by all requests of an entry.
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

    /// Reserves `bytes` until the reservation is dropped, or returns `None` if
    /// they are not available.
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

    /// The number of reserved bytes.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }
}

/// A number of reserved bytes.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Keeps the reservation until the last clone of `bytes` is dropped.
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
