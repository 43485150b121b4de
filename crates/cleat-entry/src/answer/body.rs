//! The body of an answer as hyper sends it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{Chunks, Stream};
use crate::upstream::Failure;

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// All of it is here.
    Whole(Chunks),
    /// The rest is still to come from the target. Boxed because it is rare and
    /// holds a connection.
    Streamed(Box<Stream>),
}

/// A streamed answer that broke off. hyper closes the caller's connection in
/// the middle of the body, so that it can't be taken for a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the target's answer broke off: {failure:?}"))]
pub(crate) struct BrokenOff {
    failure: Failure,
}

impl AnswerBody {
    /// A body without bytes.
    pub(crate) fn empty() -> AnswerBody {
        AnswerBody::Whole(Chunks::default())
    }

    /// A body of these bytes.
    pub(crate) fn whole_bytes(bytes: Bytes) -> AnswerBody {
        let mut chunks = Chunks::default();
        chunks.push(bytes);
        AnswerBody::Whole(chunks)
    }
}

impl From<Failure> for BrokenOff {
    fn from(failure: Failure) -> Self {
        BrokenOff { failure }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(chunks) => Poll::Ready(chunks.pop().map(|c| Ok(Frame::data(c)))),
            AnswerBody::Streamed(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(chunks) => chunks.is_empty(),
            AnswerBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(chunks) => SizeHint::with_exact(chunks.len() as u64),
            AnswerBody::Streamed(stream) => stream.size_hint(),
        }
    }
}
