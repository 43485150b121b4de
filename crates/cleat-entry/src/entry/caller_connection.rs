//! What a caller's socket and the handler of its requests tell each other.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The most bytes of a head that are kept.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const CONTENT_LENGTH_LINE: &[u8] = b"\r\ncontent-length:";

/// One connection of a caller.
#[derive(Debug, Clone, Default)]
pub(super) struct CallerConnection(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// How many guards there are: a handler has a request of this connection,
    /// or a byte of its answer's body is still to be written.
    busy: AtomicUsize,
    /// How many requests of this connection handlers have had.
    request_count: AtomicU64,
    /// What was read since the last request was handed to a handler.
    head: Mutex<Vec<u8>>,
}

impl CallerConnection {
    pub(super) fn is_busy(&self) -> bool {
        self.0.busy.load(Ordering::Relaxed) > 0
    }

    pub(super) fn has_received_request(&self) -> bool {
        self.request_count() > 0
    }

    /// How many requests of this connection handlers have had.
    pub(super) fn request_count(&self) -> u64 {
        self.0.request_count.load(Ordering::Relaxed)
    }

    /// Marks the connection as busy until the last clone of the guard is
    /// dropped.
    pub(super) fn begin_request(&self) -> BusyGuard {
        self.0.request_count.fetch_add(1, Ordering::Relaxed);
        BusyGuard::new(self.clone())
    }

    /// Takes note of bytes that were read.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if self.is_busy() {
            return;
        }
        let mut head = self.head();
        let free = MAX_HEAD_BYTES.saturating_sub(head.len());
        head.extend_from_slice(&bytes[..bytes.len().min(free)]);
    }

    /// Whether the head of the present request had a line `Content-Length`.
    ///
    /// hyper drops that line if there is a `Transfer-Encoding`, so the handler
    /// can't see it. A pipelined head, read before its turn, is not kept; then
    /// the answer is no.
    pub(super) fn had_content_length(&self) -> bool {
        let head = self.head();
        let end = head.windows(HEAD_END.len()).position(|w| w == HEAD_END);
        let head = &head[..end.unwrap_or(head.len())];
        let mut lines = head.windows(CONTENT_LENGTH_LINE.len());
        lines.any(|line| line.eq_ignore_ascii_case(CONTENT_LENGTH_LINE))
    }

    fn head(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A busy connection. A count in it, since a mark of its own for each request
/// would have to be allocated.
#[derive(Debug)]
pub(super) struct BusyGuard(CallerConnection);

impl BusyGuard {
    fn new(connection: CallerConnection) -> BusyGuard {
        connection.0.busy.fetch_add(1, Ordering::Relaxed);
        BusyGuard(connection)
    }
}

impl Clone for BusyGuard {
    fn clone(&self) -> BusyGuard {
        BusyGuard::new(self.0.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let CallerConnection(state) = &self.0;
        if state.busy.load(Ordering::Relaxed) == 1 {
            // First, or what is read next would be lost.
            self.0.head().clear();
        }
        state.busy.fetch_sub(1, Ordering::Relaxed);
    }
}
