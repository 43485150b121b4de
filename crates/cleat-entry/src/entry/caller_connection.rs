//! State shared by the socket of a caller and the handler of its requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cleat_http::{Held, InboundConnection};

/// The maximum number of bytes of a request head that are recorded.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const CONTENT_LENGTH_LINE: &[u8] = b"\r\ncontent-length:";

/// The state of one connection of a caller.
#[derive(Debug, Clone)]
pub(super) struct CallerConnection {
    /// What it counts as.
    pub(super) inbound: InboundConnection,
    head: Arc<Mutex<RecordedHead>>,
}

/// The beginning of the head of a request.
#[derive(Debug)]
struct RecordedHead {
    /// The number of requests that had begun when it was received.
    earlier_requests: u64,
    bytes: Vec<u8>,
    held: Held,
}

impl CallerConnection {
    pub(super) fn new(inbound: InboundConnection) -> CallerConnection {
        let head = RecordedHead {
            earlier_requests: 0,
            bytes: Vec::new(),
            held: inbound.hold_nothing(),
        };
        CallerConnection {
            inbound,
            head: Arc::new(Mutex::new(head)),
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        self.inbound.is_active()
    }

    pub(super) fn has_received_request(&self) -> bool {
        self.inbound.request_count() > 0
    }

    /// Records received bytes, unless the connection is busy.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if self.is_busy() {
            return;
        }
        let earlier_requests = self.inbound.request_count();
        let mut head = self.head();
        if head.earlier_requests != earlier_requests {
            head.earlier_requests = earlier_requests;
            head.bytes.clear();
        }
        let free = MAX_HEAD_BYTES.saturating_sub(head.bytes.len());
        head.bytes
            .extend_from_slice(&bytes[..bytes.len().min(free)]);
        let capacity = head.bytes.capacity();
        head.held.grow_anyway(capacity);
    }

    /// Whether the head of the current request had a `Content-Length` field.
    ///
    /// hyper removes the field if there is a `Transfer-Encoding`, so the
    /// handler can't see it. The head of a pipelined request, received while
    /// the connection is busy, is not recorded; the result is `false` then.
    pub(super) fn had_content_length(&self) -> bool {
        let head = self.head();
        if head.earlier_requests + 1 != self.inbound.request_count() {
            return false;
        }
        let end = head
            .bytes
            .windows(HEAD_END.len())
            .position(|w| w == HEAD_END);
        let head = &head.bytes[..end.unwrap_or(head.bytes.len())];
        let mut lines = head.windows(CONTENT_LENGTH_LINE.len());
        lines.any(|line| line.eq_ignore_ascii_case(CONTENT_LENGTH_LINE))
    }

    fn head(&self) -> MutexGuard<'_, RecordedHead> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
