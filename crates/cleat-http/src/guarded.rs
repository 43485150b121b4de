//! A response body that keeps something until it is written.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// A body that keeps a guard until its last byte is written.
#[derive(Debug)]
pub struct GuardedBody<B, G> {
    body: B,
    guard: G,
}

/// A chunk of a body. hyper drops it once it is written.
struct GuardedChunk<G> {
    bytes: Bytes,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// Keeps `guard` with `body`.
    pub fn new(body: B, guard: G) -> GuardedBody<B, G> {
        GuardedBody { body, guard }
    }
}

impl<G> AsRef<[u8]> for GuardedChunk<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: Clone + Send + Sync + Unpin + 'static,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let guard = |bytes| {
            let guard = self.guard.clone();
            Bytes::from_owner(GuardedChunk {
                bytes,
                _guard: guard,
            })
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(guard))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
