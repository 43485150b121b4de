//! A socket that remembers whether a byte was given to it for sending.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a byte was sent since the last reset.
#[derive(Debug, Clone, Default)]
pub(super) struct Sent(Arc<AtomicBool>);

impl Sent {
    pub(super) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    pub(super) fn reset(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn note(&self, count: usize) {
        if count > 0 {
            self.0.store(true, Ordering::Relaxed);
        }
    }
}

/// The proof of "not sent" rests on this: hyper's errors don't tell a write
/// that took nothing from one that took something.
#[derive(Debug)]
pub(super) struct Watched {
    stream: TcpStream,
    sent: Sent,
}

impl Watched {
    pub(super) fn new(stream: TcpStream, sent: Sent) -> Watched {
        Watched { stream, sent }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.sent.note(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.sent.note(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
