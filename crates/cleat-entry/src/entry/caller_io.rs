//! The socket of a caller. It records the latest request head and replaces the automatic
//! responses of hyper.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use cleat_http::InboundIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::automatic_response;
use super::caller_connection::CallerConnection;

pub(super) struct CallerIo {
    io: InboundIo,
    connection: CallerConnection,
    /// The unwritten rest of the replacement for an automatic response of
    /// hyper.
    replacement: Option<Bytes>,
}

impl CallerIo {
    pub(super) fn new(stream: TcpStream, connection: CallerConnection) -> CallerIo {
        CallerIo {
            io: InboundIo::new(stream, connection.inbound.clone()),
            connection,
            replacement: None,
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
            let written = Pin::new(&mut self.io).poll_write(cx, rest);
            rest.advance(ready!(written)?);
            if rest.is_empty() {
                self.replacement = None;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
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
        replaced.unwrap_or_else(|| Pin::new(&mut self.io).poll_write(cx, buf))
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
        replaced.unwrap_or_else(|| Pin::new(&mut self.io).poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
