//! The socket of a client. It counts what arrives, and limits how long heads, idle
//! connections and answers that nobody reads may take.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use super::connection::Held;
use super::table::Holding;
use super::{Closure, InboundConnection};

/// The most that is read at once, in bytes. The HTTP library enlarges its buffers for clients that
/// fill them.
const READ_BYTES: usize = 8 * 1_024 - 1;
/// How often a read waits for the memory of what was evicted. Each time, all that can run does.
const MAX_WAITS_FOR_ROOM: u32 = 64;

/// The socket of a client.
#[derive(Debug)]
pub struct InboundIo {
    stream: TcpStream,
    client: InboundConnection,
    /// The memory of the HTTP library's receive buffer, which it keeps while the connection
    /// is open.
    buffer: Held,
    head: HeadTimer,
    /// Runs while a write makes no progress.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// How often in a row there was no memory yet for a read.
    waits_for_room: u32,
    /// Whether a read has to be polled again once a write makes progress.
    is_read_withheld: bool,
}

impl InboundIo {
    /// The socket of `client`.
    pub fn new(stream: TcpStream, client: InboundConnection) -> InboundIo {
        InboundIo {
            stream,
            buffer: client.hold_nothing(),
            head: HeadTimer::new(&client),
            write_timer: None,
            waits_for_room: 0,
            is_read_withheld: false,
            client,
        }
    }

    /// Counts the memory for the bytes that are read next.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.client.is_active() {
            // It is there already: a body is received in the buffer of its head.
            self.buffer.grow_anyway(READ_BYTES);
            return Poll::Ready(Ok(()));
        }
        let bytes = self.head.open_bytes(&self.client) + READ_BYTES;
        match self.buffer.try_grow_to(bytes) {
            Holding::Held => {
                self.waits_for_room = 0;
                Poll::Ready(Ok(()))
            }
            Holding::Wait if self.waits_for_room < MAX_WAITS_FOR_ROOM => {
                // Those that were evicted run meanwhile, and release their memory.
                self.waits_for_room += 1;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Holding::Wait | Holding::Full => {
                self.client.record(Closure::MemoryFull);
                Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()))
            }
        }
    }

    /// Reads at most [`READ_BYTES`].
    fn poll_read_some(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let room = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(read))
    }

    /// Ready with an error once the client has taken too long.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.head.poll(&self.client, cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn check_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.end_write_wait(cx);
            return written;
        }
        let timer = match &mut self.write_timer {
            Some(timer) => timer,
            None => {
                self.client.set_unread(true);
                let timer = Box::pin(sleep(self.client.limits().answer_timeout));
                self.write_timer.insert(timer)
            }
        };
        ready!(timer.as_mut().poll(cx));
        self.client.record(Closure::AnswerTimeout);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn end_write_wait(&mut self, cx: &mut Context<'_>) {
        if self.write_timer.take().is_none() {
            return;
        }
        self.client.set_unread(false);
        if std::mem::take(&mut self.is_read_withheld) {
            cx.waker().wake_by_ref();
        }
    }

    /// Counts answers of the HTTP library itself: it has none of a handler while a head is
    /// not complete.
    fn count_refused_head(&mut self) {
        if self.head.take_open_bytes(&self.client) > 0 {
            self.client.record(Closure::BadHead);
        }
    }
}

impl AsyncRead for InboundIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Requests whose answers are not read would otherwise pile up.
        if self.write_timer.is_some() {
            self.is_read_withheld = true;
            return Poll::Pending;
        }
        let arrived = self.stream.poll_read_ready(cx);
        if arrived.is_pending() {
            return self.poll_timeout(cx);
        }
        ready!(self.poll_room(cx))?;
        let polled = self.poll_read_some(cx, buf);
        if polled.is_pending() {
            return self.poll_timeout(cx);
        }
        let read = ready!(polled)?;
        if read > 0 && !self.client.is_active() {
            let InboundIo { head, client, .. } = &mut *self;
            head.record_read(client, read);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InboundIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.count_refused_head();
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.count_refused_head();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_write(written, cx)
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

/// Limits how long a connection may be idle, and how long a head may take once it has begun.
/// One timer is reused for all, because resetting a timer takes no lock, while creating and
/// dropping one does.
#[derive(Debug)]
struct HeadTimer {
    sleep: Pin<Box<Sleep>>,
    /// The request count when the timer was last reset.
    request_count: u64,
    /// The bytes of the head that has begun.
    open_bytes: usize,
}

impl HeadTimer {
    fn new(client: &InboundConnection) -> HeadTimer {
        HeadTimer {
            sleep: Box::pin(sleep(client.limits().idle_timeout)),
            request_count: 0,
            open_bytes: 0,
        }
    }

    /// Records bytes of a head.
    fn record_read(&mut self, client: &InboundConnection, read: usize) {
        self.begin_idle(client);
        if self.open_bytes == 0 {
            client.begin_head();
            let timeout = client.limits().head_timeout;
            self.sleep.as_mut().reset(Instant::now() + timeout);
        }
        self.open_bytes += read;
    }

    /// The bytes of a head that is not complete.
    fn open_bytes(&mut self, client: &InboundConnection) -> usize {
        self.begin_idle(client);
        self.open_bytes
    }

    /// The bytes of a head that is not complete; they count no more.
    fn take_open_bytes(&mut self, client: &InboundConnection) -> usize {
        match client.request_count() == self.request_count {
            true => std::mem::take(&mut self.open_bytes),
            false => 0,
        }
    }

    /// Ready once the time is over. While a request is handled there is no limit.
    fn poll(&mut self, client: &InboundConnection, cx: &mut Context<'_>) -> Poll<()> {
        if client.is_active() {
            return Poll::Pending;
        }
        self.begin_idle(client);
        ready!(self.sleep.as_mut().poll(cx));
        if self.open_bytes > 0 {
            client.record(Closure::HeadTimeout);
        }
        Poll::Ready(())
    }

    /// Starts anew if a request has begun since the last time.
    fn begin_idle(&mut self, client: &InboundConnection) {
        let count = client.request_count();
        if count == self.request_count {
            return;
        }
        self.request_count = count;
        self.open_bytes = 0;
        let timeout = client.limits().idle_timeout;
        self.sleep.as_mut().reset(Instant::now() + timeout);
    }
}
