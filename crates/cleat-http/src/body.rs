//! Reading the bodies of requests.

use std::ops::Deref;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::timeout;

use crate::inbound::{Closure, Held, InboundConnection, MemoryFull};

/// The size of the pieces that a body is received in, in bytes; the first is smaller, since most
/// bodies are.
const PIECE_BYTES: usize = 16 * 1_024;
const FIRST_PIECE_BYTES: usize = 4 * 1_024;

/// Why a body was not read whole.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// It broke off.
    #[snafu(display("the body broke off: {reason}"))]
    BrokeOff {
        /// What the connection says.
        reason: Box<str>,
    },
    /// It made no progress in time.
    #[snafu(display("the body made no progress in time"))]
    TooSlow,
    /// There is no memory for it.
    #[snafu(display("{source}"))]
    NoMemory {
        /// What is full.
        source: MemoryFull,
    },
}

impl From<MemoryFull> for BodyError {
    fn from(source: MemoryFull) -> BodyError {
        BodyError::NoMemory { source }
    }
}

/// The body of a request that arrives, and the client that sends it.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    client: InboundConnection,
}

impl RequestBody {
    /// A body that `client` sends.
    pub fn new(incoming: Incoming, client: InboundConnection) -> RequestBody {
        RequestBody { incoming, client }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A whole body, which counts in the memory of its client until it is dropped.
#[derive(Debug)]
pub struct WholeBody {
    bytes: Vec<u8>,
    held: Held,
}

impl WholeBody {
    /// Counts what is decoded from it as well, until it is dropped.
    ///
    /// # Errors
    /// The memory is full.
    pub async fn hold_decoded(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        self.held.grow_to(self.bytes.len() + bytes).await
    }

    /// The body, which counts until its last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(self),
        }
    }
}

impl Deref for WholeBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The whole body, if it has at most `limit` bytes. If not, the rest of it is not read, so
/// the connection is closed after the answer.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(body: RequestBody, limit: usize) -> Result<WholeBody, BodyError> {
    let RequestBody { incoming, client } = body;
    let buffer = BodyBuffer::new(&client, limit);
    if incoming.is_end_stream() {
        return buffer.finish().await;
    }
    client.begin_body();
    let read = tokio::select! {
        read = collect(incoming, buffer, &client) => read,
        () = client.refused() => Err(MemoryFull.into()),
    };
    let ended = client.end_body();
    let body = read?;
    ended?;
    Ok(body)
}

async fn collect(
    mut body: Incoming,
    mut buffer: BodyBuffer,
    client: &InboundConnection,
) -> Result<WholeBody, BodyError> {
    buffer.check_stated(body.size_hint().lower())?;
    let limit = client.limits().body_timeout;
    loop {
        let Ok(frame) = timeout(limit, body.frame()).await else {
            client.record(Closure::BodyTimeout);
            return TooSlowSnafu.fail();
        };
        let Some(frame) = frame else {
            return buffer.finish().await;
        };
        let frame = frame.map_err(|error| BodyError::BrokeOff {
            reason: error.to_string().into(),
        })?;
        // Trailers may be discarded (RFC 9110, 6.5).
        if let Ok(data) = frame.into_data() {
            buffer.push(&data).await?;
        }
    }
}

/// The part of a body that has arrived. It is copied into pieces, since a chunk as it was received
/// keeps all of the memory that it was received in. Pieces are not moved as the body grows.
struct BodyBuffer {
    /// Invariant: all but the last are full.
    pieces: Vec<Vec<u8>>,
    len: usize,
    held: Held,
    /// The maximum number of bytes.
    limit: usize,
}

impl BodyBuffer {
    fn new(client: &InboundConnection, limit: usize) -> BodyBuffer {
        BodyBuffer {
            pieces: Vec::new(),
            len: 0,
            held: client.hold_nothing(),
            limit,
        }
    }

    /// Checks the length that the head of the request states.
    fn check_stated(&self, stated: u64) -> Result<(), BodyError> {
        let limit = self.limit;
        match stated > limit as u64 {
            true => TooLargeSnafu { limit }.fail(),
            false => Ok(()),
        }
    }

    async fn push(&mut self, mut data: &[u8]) -> Result<(), BodyError> {
        self.len += data.len();
        let limit = self.limit;
        if self.len > limit {
            return TooLargeSnafu { limit }.fail();
        }
        while !data.is_empty() {
            let piece = self.piece_with_room().await?;
            let room = piece.capacity() - piece.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            piece.extend_from_slice(fitting);
            data = rest;
        }
        Ok(())
    }

    async fn piece_with_room(&mut self) -> Result<&mut Vec<u8>, BodyError> {
        let is_full = |piece: &Vec<u8>| piece.len() == piece.capacity();
        if self.pieces.last().is_none_or(is_full) {
            let bytes = match self.pieces.is_empty() {
                true => FIRST_PIECE_BYTES,
                false => PIECE_BYTES,
            };
            self.held.grow_to(self.held.bytes() + bytes).await?;
            self.pieces.push(Vec::with_capacity(bytes));
        }
        // There is one now.
        self.pieces.last_mut().ok_or(MemoryFull.into())
    }

    /// The whole body in one place. The few that are joined have just arrived, each in turn.
    async fn finish(mut self) -> Result<WholeBody, BodyError> {
        if self.pieces.len() > 1 {
            self.held.grow_to(self.held.bytes() + self.len).await?;
        }
        let bytes = match self.pieces.len() {
            0 => Vec::new(),
            1 => self.pieces.swap_remove(0),
            _ => self.pieces.concat(),
        };
        self.pieces.clear();
        self.held.shrink_to(bytes.capacity());
        Ok(WholeBody {
            bytes,
            held: self.held,
        })
    }
}
