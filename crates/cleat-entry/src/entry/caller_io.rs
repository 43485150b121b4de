//! A caller's socket: bounds how long the caller may take nothing, keeps the
//! head that came last, and gives hyper's own answers the form of ours.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use super::connection::Connection;
use super::refusal;
use crate::config::Limits;

/// Without the bound, a caller that stops reading would hold its answer, and a
/// draining entry, for ever.
pub(super) struct CallerIo {
    stream: TcpStream,
    limit: Duration,
    /// Runs while the caller takes nothing.
    stall: Option<Pin<Box<Sleep>>>,
    connection: Connection,
    head: HeadTimer,
    /// What is left to write in place of an automatic answer of hyper.
    replacement: Option<Bytes>,
}

impl CallerIo {
    pub(super) fn new(stream: TcpStream, limits: &Limits, connection: Connection) -> CallerIo {
        CallerIo {
            stream,
            limit: limits.caller_write_timeout,
            head: HeadTimer::new(limits.header_read_timeout),
            stall: None,
            connection,
            replacement: None,
        }
    }

    fn watch(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let limit = self.limit;
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(limit)));
        match stall.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Writes the replacement of `buf`, if it has one, and then claims that
    /// `buf` was written.
    fn poll_replace(
        &mut self,
        buf: &[u8],
        cx: &mut Context<'_>,
    ) -> Option<Poll<io::Result<usize>>> {
        if self.replacement.is_none() && !self.connection.is_busy() {
            self.replacement = refusal::replacement(buf);
        }
        self.replacement.as_ref()?;
        let written = self.poll_replacement(cx);
        Some(written.map_ok(|()| buf.len()))
    }

    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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

/// Bounds how long a caller may take for the head of a request. One timer for
/// all heads: to set it later takes no lock, to make and drop one does.
struct HeadTimer {
    limit: Duration,
    sleep: Pin<Box<Sleep>>,
    /// How many requests had come when it was set.
    requests: Option<u64>,
}

impl HeadTimer {
    fn new(limit: Duration) -> HeadTimer {
        HeadTimer {
            limit,
            sleep: Box::pin(sleep(limit)),
            requests: None,
        }
    }

    /// Ready when the limit has passed since `requests` requests had come.
    fn poll(&mut self, requests: u64, cx: &mut Context<'_>) -> Poll<()> {
        if self.requests != Some(requests) {
            self.requests = Some(requests);
            self.sleep.as_mut().reset(Instant::now() + self.limit);
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
            let requests = self.connection.requests();
            ready!(self.head.poll(requests, cx));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        ready!(read)?;
        self.connection.note_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let replaced = self.poll_replace(buf, cx);
        let written = replaced.unwrap_or_else(|| Pin::new(&mut self.stream).poll_write(cx, buf));
        self.watch(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let replaced = match bufs {
            [only] => self.poll_replace(only, cx),
            _ => None,
        };
        let written =
            replaced.unwrap_or_else(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.watch(written, cx)
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
