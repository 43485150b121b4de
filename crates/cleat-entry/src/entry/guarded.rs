//! An answer's body that keeps its connection marked as busy.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::connection::Busy;
use crate::answer::{AnswerBody, BrokenOff};

/// The body of an answer on a caller's connection.
pub(super) struct GuardedBody {
    body: AnswerBody,
    busy: Busy,
}

/// A piece of a body. hyper drops it once it is written.
struct GuardedBytes {
    bytes: Bytes,
    _busy: Busy,
}

impl GuardedBody {
    pub(super) fn new(body: AnswerBody, busy: Busy) -> GuardedBody {
        GuardedBody { body, busy }
    }

    fn guard(&self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(GuardedBytes {
            bytes,
            _busy: self.busy.clone(),
        })
    }
}

impl AsRef<[u8]> for GuardedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let guard = |frame: Frame<Bytes>| frame.map_data(|bytes| self.guard(bytes));
        Poll::Ready(frame.map(|frame| frame.map(guard)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
