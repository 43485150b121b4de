//! The body of a response to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{Chunks, StreamedBody};
use crate::upstream::Failure;

/// The body of a response to a caller.
pub(crate) enum ResponseBody {
    /// The body was received completely.
    Buffered(Chunks),
    /// Part of the body is yet to be received from the target. Boxed, because
    /// it is rare and contains a connection.
    Streamed(Box<StreamedBody>),
}

/// A streamed response that was truncated. hyper closes the connection to the
/// caller in the middle of the body, so that the caller can't mistake the
/// response for a complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the target's response was truncated: {failure:?}"))]
pub(crate) struct ResponseTruncated {
    failure: Failure,
}

impl ResponseBody {
    /// An empty body.
    pub(crate) fn empty() -> ResponseBody {
        ResponseBody::Buffered(Chunks::default())
    }

    /// A body that consists of `bytes`.
    pub(crate) fn from_bytes(bytes: Bytes) -> ResponseBody {
        let mut chunks = Chunks::default();
        chunks.push(bytes);
        ResponseBody::Buffered(chunks)
    }
}

impl From<Failure> for ResponseTruncated {
    fn from(failure: Failure) -> Self {
        ResponseTruncated { failure }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        match self.get_mut() {
            ResponseBody::Buffered(chunks) => Poll::Ready(chunks.pop().map(|c| Ok(Frame::data(c)))),
            ResponseBody::Streamed(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(chunks) => chunks.is_empty(),
            ResponseBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(chunks) => SizeHint::with_exact(chunks.len() as u64),
            ResponseBody::Streamed(stream) => stream.size_hint(),
        }
    }
}
