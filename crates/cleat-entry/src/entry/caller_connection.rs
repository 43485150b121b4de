//! State shared by the socket of a caller and the handler of its requests.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The maximum number of bytes of a request head that are recorded.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const CONTENT_LENGTH_LINE: &[u8] = b"\r\ncontent-length:";

/// The state of one connection of a caller.
#[derive(Debug, Clone, Default)]
pub(super) struct CallerConnection(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// The number of guards. It is above zero while a handler processes a
    /// request of this connection or part of a response body has yet to be
    /// written.
    busy: AtomicUsize,
    /// The number of requests passed to handlers.
    request_count: AtomicU64,
    /// The bytes received since the connection was last busy, which contain the
    /// head of the current request.
    head: Mutex<Vec<u8>>,
}

impl CallerConnection {
    pub(super) fn is_busy(&self) -> bool {
        self.0.busy.load(Ordering::Relaxed) > 0
    }

    pub(super) fn has_received_request(&self) -> bool {
        self.request_count() > 0
    }

    /// The number of requests passed to handlers.
    pub(super) fn request_count(&self) -> u64 {
        self.0.request_count.load(Ordering::Relaxed)
    }

    /// Marks the connection as busy until the last clone of the guard is
    /// dropped.
    pub(super) fn begin_request(&self) -> BusyGuard {
        self.0.request_count.fetch_add(1, Ordering::Relaxed);
        BusyGuard::new(self.clone())
    }

    /// Records received bytes, unless the connection is busy.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if self.is_busy() {
            return;
        }
        let mut head = self.head();
        let free = MAX_HEAD_BYTES.saturating_sub(head.len());
        head.extend_from_slice(&bytes[..bytes.len().min(free)]);
    }

    /// Whether the head of the current request had a `Content-Length` field.
    ///
    /// hyper removes the field if there is a `Transfer-Encoding`, so the
    /// handler can't see it. The head of a pipelined request, received while
    /// the connection is busy, is not recorded; the result is `false` then.
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

/// Marks a connection as busy. The guards are counted in the connection,
/// because a separate flag for each request would need an allocation.
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
            // The head is cleared before the count drops, or bytes received in
            // between would be lost.
            self.0.head().clear();
        }
        state.busy.fetch_sub(1, Ordering::Relaxed);
    }
}
