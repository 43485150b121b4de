//! The socket of a caller. It limits how long a write may stall, records the
//! latest request head and replaces the automatic responses of hyper.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use super::automatic_response;
use super::caller_connection::CallerConnection;
use crate::config::Limits;

/// Without the write timeout, a caller that stops reading would occupy the
/// memory of its response forever and prevent a draining entry from finishing.
pub(super) struct CallerIo {
    stream: TcpStream,
    timeout: Duration,
    /// Runs while a write makes no progress.
    write_timer: Option<Pin<Box<Sleep>>>,
    connection: CallerConnection,
    head_timer: HeadReadTimer,
    /// The unwritten rest of the replacement for an automatic response of
    /// hyper.
    replacement: Option<Bytes>,
}

impl CallerIo {
    pub(super) fn new(
        stream: TcpStream,
        limits: &Limits,
        connection: CallerConnection,
    ) -> CallerIo {
        CallerIo {
            stream,
            timeout: limits.caller_write_timeout,
            head_timer: HeadReadTimer::new(limits.header_read_timeout),
            write_timer: None,
            connection,
            replacement: None,
        }
    }

    fn check_write_timeout(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timeout = self.timeout;
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        match write_timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    /// If `buf` has a replacement, writes the replacement and reports `buf` as
    /// written.
    fn poll_write_replaced(
        &mut self,
        buf: &[u8],
        cx: &mut Context<'_>,
    ) -> Option<Poll<io::Result<usize>>> {
        if self.replacement.is_none() && !self.connection.is_busy() {
            self.replacement = automatic_response::replacement(buf);
        }
        self.replacement.as_ref()?;
        let written = self.poll_write_replacement(cx);
        Some(written.map_ok(|()| buf.len()))
    }

    fn poll_write_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(rest) = &mut self.replacement {
            let written = Pin::new(&mut self.stream).poll_write(cx, rest);
            rest.advance(ready!(written)?);
            if rest.is_empty() {
                self.replacement = None;
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// Limits how long a caller may take to send the head of a request. One timer
/// is reused for all heads, because resetting a timer takes no lock, while
/// creating and dropping one does.
struct HeadReadTimer {
    timeout: Duration,
    sleep: Pin<Box<Sleep>>,
    /// The request count when the timer was last reset.
    request_count: Option<u64>,
}

impl HeadReadTimer {
    fn new(timeout: Duration) -> HeadReadTimer {
        HeadReadTimer {
            timeout,
            sleep: Box::pin(sleep(timeout)),
            request_count: None,
        }
    }

    /// Ready once `timeout` has passed since `request_count` was first seen.
    fn poll(&mut self, request_count: u64, cx: &mut Context<'_>) -> Poll<()> {
        if self.request_count != Some(request_count) {
            self.request_count = Some(request_count);
            self.sleep.as_mut().reset(Instant::now() + self.timeout);
        }
        self.sleep.as_mut().poll(cx)
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() && !self.connection.is_busy() {
            let request_count = self.connection.request_count();
            ready!(self.head_timer.poll(request_count, cx));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        ready!(read)?;
        self.connection.record_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let replaced = self.poll_write_replaced(buf, cx);
        let written = replaced.unwrap_or_else(|| Pin::new(&mut self.stream).poll_write(cx, buf));
        self.check_write_timeout(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let replaced = match bufs {
            [only] => self.poll_write_replaced(only, cx),
            _ => None,
        };
        let written =
            replaced.unwrap_or_else(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.check_write_timeout(written, cx)
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
