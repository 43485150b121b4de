//! The body of an answer as hyper sends it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{Chunks, StreamedBody};
use crate::upstream::Failure;

/// The body of an answer.
pub(crate) enum ResponseBody {
    /// All of it is here.
    Buffered(Chunks),
    /// The rest is still to come from the target. Boxed because it is rare and
    /// holds a connection.
    Streamed(Box<StreamedBody>),
}

/// A streamed answer that broke off. hyper closes the caller's connection in
/// the middle of the body, so that it can't be taken for a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the target's answer broke off: {failure:?}"))]
pub(crate) struct ResponseTruncated {
    failure: Failure,
}

impl ResponseBody {
    /// A body without bytes.
    pub(crate) fn empty() -> ResponseBody {
        ResponseBody::Buffered(Chunks::default())
    }

    /// A body of these bytes.
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
