//! A response body that marks its connection as busy.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::caller_connection::BusyGuard;
use crate::response::{ResponseBody, ResponseTruncated};

/// The response body on a connection of a caller.
pub(super) struct GuardedBody {
    body: ResponseBody,
    busy: BusyGuard,
}

/// A chunk of a body. hyper drops it once it is written.
struct GuardedChunk {
    bytes: Bytes,
    _busy: BusyGuard,
}

impl GuardedBody {
    pub(super) fn new(body: ResponseBody, busy: BusyGuard) -> GuardedBody {
        GuardedBody { body, busy }
    }

    fn guard(&self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(GuardedChunk {
            bytes,
            _busy: self.busy.clone(),
        })
    }
}

impl AsRef<[u8]> for GuardedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
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
