//! A socket that records whether bytes were sent.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Whether bytes of the current exchange were sent, and until when it may start.
/// `Upstream::send` resets the former at the start of each exchange.
#[derive(Debug, Clone, Default)]
pub(super) struct SendState(Arc<State>);

#[derive(Debug, Default)]
struct State {
    sent: AtomicBool,
    /// No exchange may start at or after this time: the end of the lease of a
    /// borrowed slot. `None` if there is no limit.
    start_deadline: Mutex<Option<Instant>>,
}

impl SendState {
    pub(super) fn may_have_sent(&self) -> bool {
        self.0.sent.load(Ordering::Relaxed)
    }

    pub(super) fn reset(&self) {
        self.0.sent.store(false, Ordering::Relaxed);
    }

    pub(super) fn set_start_deadline(&self, deadline: Option<Instant>) {
        *self.locked_start_deadline() = deadline;
    }

    /// Checks whether the first byte of an exchange may be sent: not once the lease of
    /// a borrowed slot has ended. This is the
    /// last check before the write, because the process may have been frozen
    /// since the slot was acquired.
    fn check_start_deadline(&self) -> io::Result<()> {
        if self.may_have_sent() {
            return Ok(());
        }
        let deadline = *self.locked_start_deadline();
        match deadline {
            Some(deadline) if Instant::now() >= deadline => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        }
    }

    fn locked_start_deadline(&self) -> MutexGuard<'_, Option<Instant>> {
        let deadline = self.0.start_deadline.lock();
        deadline.unwrap_or_else(PoisonError::into_inner)
    }

    fn record_written(&self, count: usize) {
        if count > 0 {
            self.0.sent.store(true, Ordering::Relaxed);
        }
    }
}

/// Records whether a write transferred any bytes.
/// [`Failure::NotSent`](super::Failure::NotSent) relies on this, because the
/// errors of hyper don't distinguish a write that sent nothing from one that
/// sent something.
#[derive(Debug)]
pub(super) struct TrackedStream {
    stream: TcpStream,
    sent: SendState,
}

impl TrackedStream {
    pub(super) fn new(stream: TcpStream, sent: SendState) -> TrackedStream {
        TrackedStream { stream, sent }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.sent.check_start_deadline()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.sent.record_written(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.sent.check_start_deadline()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.sent.record_written(count);
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
