//! A socket that remembers whether a byte was given to it for sending.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Whether a byte was sent since the last reset.
#[derive(Debug, Clone, Default)]
pub(super) struct Sent(Arc<State>);

#[derive(Debug, Default)]
struct State {
    sent: AtomicBool,
    /// No exchange begins from then on.
    begin_until: Mutex<Option<Instant>>,
}

impl Sent {
    pub(super) fn get(&self) -> bool {
        self.0.sent.load(Ordering::Relaxed)
    }

    pub(super) fn reset(&self) {
        self.0.sent.store(false, Ordering::Relaxed);
    }

    pub(super) fn set_begin_until(&self, until: Option<Instant>) {
        *self.until() = until;
    }

    /// Whether the first byte of an exchange may leave. This is the last look
    /// before it does: the process may have been frozen since it took the slot.
    fn may_begin(&self) -> io::Result<()> {
        if self.get() {
            return Ok(());
        }
        let until = *self.until();
        match until {
            Some(until) if Instant::now() >= until => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        }
    }

    fn until(&self) -> MutexGuard<'_, Option<Instant>> {
        let until = self.0.begin_until.lock();
        until.unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, count: usize) {
        if count > 0 {
            self.0.sent.store(true, Ordering::Relaxed);
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
        self.sent.may_begin()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.sent.note(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.sent.may_begin()?;
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
