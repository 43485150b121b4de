//! An answer's body that keeps its connection marked as busy.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::connection::Busy;
use crate::answer::{AnswerBody, BrokenOff};

/// The body of an answer on a caller's connection.
pub(super) struct GuardedBody {
    body: AnswerBody,
    _busy: Busy,
}

impl GuardedBody {
    pub(super) fn new(body: AnswerBody, busy: Busy) -> GuardedBody {
        GuardedBody { body, _busy: busy }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
