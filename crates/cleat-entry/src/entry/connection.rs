//! What a caller's socket and the handler of its requests tell each other.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The most bytes of a head that are kept.
const HEAD_MAX: usize = 16 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LENGTH_LINE: &[u8] = b"\r\ncontent-length:";

/// One connection of a caller.
#[derive(Debug, Clone, Default)]
pub(super) struct Connection(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// How many guards there are: a handler has a request of this connection,
    /// or a byte of its answer's body is still to be written.
    busy: AtomicUsize,
    /// How many requests of this connection handlers have had.
    requests: AtomicU64,
    /// What was read since the last request was handed to a handler.
    head: Mutex<Vec<u8>>,
}

impl Connection {
    pub(super) fn is_busy(&self) -> bool {
        self.0.busy.load(Ordering::Relaxed) > 0
    }

    pub(super) fn has_begun(&self) -> bool {
        self.requests() > 0
    }

    /// How many requests of this connection handlers have had.
    pub(super) fn requests(&self) -> u64 {
        self.0.requests.load(Ordering::Relaxed)
    }

    /// Marks the connection as busy until the last clone of the guard is
    /// dropped.
    pub(super) fn begin(&self) -> Busy {
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        Busy::new(self.clone())
    }

    /// Takes note of bytes that were read.
    pub(super) fn note_read(&self, bytes: &[u8]) {
        if self.is_busy() {
            return;
        }
        let mut head = self.head();
        let room = HEAD_MAX.saturating_sub(head.len());
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Whether the head of the present request had a line `Content-Length`.
    ///
    /// hyper drops that line if there is a `Transfer-Encoding`, so the handler
    /// can't see it. A pipelined head, read before its turn, is not kept; then
    /// the answer is no.
    pub(super) fn had_length(&self) -> bool {
        let head = self.head();
        let end = head.windows(HEAD_END.len()).position(|w| w == HEAD_END);
        let head = &head[..end.unwrap_or(head.len())];
        let mut lines = head.windows(LENGTH_LINE.len());
        lines.any(|line| line.eq_ignore_ascii_case(LENGTH_LINE))
    }

    fn head(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A busy connection. A count in it, since a mark of its own for each request
/// would have to be allocated.
#[derive(Debug)]
pub(super) struct Busy(Connection);

impl Busy {
    fn new(connection: Connection) -> Busy {
        connection.0.busy.fetch_add(1, Ordering::Relaxed);
        Busy(connection)
    }
}

impl Clone for Busy {
    fn clone(&self) -> Busy {
        Busy::new(self.0.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let Connection(state) = &self.0;
        if state.busy.load(Ordering::Relaxed) == 1 {
            // First, or what is read next would be lost.
            self.0.head().clear();
        }
        state.busy.fetch_sub(1, Ordering::Relaxed);
    }
}
