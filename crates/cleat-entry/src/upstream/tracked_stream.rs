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
pub(super) struct SendState(Arc<State>);

#[derive(Debug, Default)]
struct State {
    sent: AtomicBool,
    /// No exchange begins from then on.
    start_deadline: Mutex<Option<Instant>>,
}

impl SendState {
    pub(super) fn may_have_sent(&self) -> bool {
        self.0.sent.load(Ordering::Relaxed)
    }

    pub(super) fn reset(&self) {
        self.0.sent.store(false, Ordering::Relaxed);
    }

    pub(super) fn set_start_deadline(&self, locked_start_deadline: Option<Instant>) {
        *self.locked_start_deadline() = locked_start_deadline;
    }

    /// Whether the first byte of an exchange may leave. This is the last look
    /// before it does: the process may have been frozen since it took the slot.
    fn check_start_deadline(&self) -> io::Result<()> {
        if self.may_have_sent() {
            return Ok(());
        }
        let locked_start_deadline = *self.locked_start_deadline();
        match locked_start_deadline {
            Some(locked_start_deadline) if Instant::now() >= locked_start_deadline => {
                Err(io::ErrorKind::TimedOut.into())
            }
            _ => Ok(()),
        }
    }

    fn locked_start_deadline(&self) -> MutexGuard<'_, Option<Instant>> {
        let locked_start_deadline = self.0.start_deadline.lock();
        locked_start_deadline.unwrap_or_else(PoisonError::into_inner)
    }

    fn record_written(&self, count: usize) {
        if count > 0 {
            self.0.sent.store(true, Ordering::Relaxed);
        }
    }
}

/// The proof of "not sent" rests on this: hyper's errors don't tell a write
/// that took nothing from one that took something.
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
