//! Postcard on the wire, with the bytes counted.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::serde_transport::{self, Transport};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The largest frame taken, in bytes: a snapshot of the whole state fits.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// The length of a frame's header, in bytes.
const FRAME_HEADER_BYTES: u64 = 4;

/// Bytes and frames between this instance and the others, headers of frames
/// included, those of TCP and IP not.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    sent_bytes: AtomicU64,
    sent_frames: AtomicU64,
    received_bytes: AtomicU64,
    received_frames: AtomicU64,
}

/// The counts of [`LinkTraffic`] at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficSnapshot {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Frames received.
    pub received_frames: u64,
}

impl LinkTraffic {
    /// The counts so far.
    pub fn snapshot(&self) -> TrafficSnapshot {
        TrafficSnapshot {
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            sent_frames: self.sent_frames.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            received_frames: self.received_frames.load(Ordering::Relaxed),
        }
    }

    fn count_sent(&self, len: usize) {
        let bytes = len as u64 + FRAME_HEADER_BYTES;
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.sent_frames.fetch_add(1, Ordering::Relaxed);
    }

    fn count_received(&self, len: usize) {
        let bytes = len as u64 + FRAME_HEADER_BYTES;
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.received_frames.fetch_add(1, Ordering::Relaxed);
    }
}

/// Encodes `SinkItem` and decodes `Item` as postcard.
pub(crate) struct Postcard<Item, SinkItem> {
    traffic: Arc<LinkTraffic>,
    items: PhantomData<fn(SinkItem) -> Item>,
}

impl<Item: DeserializeOwned, SinkItem> tokio_serde::Deserializer<Item>
    for Postcard<Item, SinkItem>
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<Item> {
        self.traffic.count_received(src.len());
        postcard::from_bytes(src).map_err(io::Error::other)
    }
}

impl<Item, SinkItem: Serialize> tokio_serde::Serializer<SinkItem> for Postcard<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        let buf = postcard::to_stdvec(item).map_err(io::Error::other)?;
        self.traffic.count_sent(buf.len());
        Ok(buf.into())
    }
}

/// The transport over `stream`.
pub(crate) fn transport<Item: DeserializeOwned, SinkItem: Serialize>(
    stream: TcpStream,
    traffic: Arc<LinkTraffic>,
) -> Transport<TcpStream, Item, SinkItem, Postcard<Item, SinkItem>> {
    let framing = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let codec = Postcard {
        traffic,
        items: PhantomData,
    };
    serde_transport::new(Framed::new(stream, framing), codec)
}
