//! A connection to a target with at most one exchange on it.

use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

use super::Failure;
use super::drive::Drive;
use super::watched::{Sent, Watched};

/// The most bytes of an answer's header block.
const ANSWER_HEAD_BYTES: usize = 64 * 1_024;

/// An open connection.
///
/// Boxed, because it is large and passed on with its slot. The task that uses it drives it, so dropping it closes the socket before
/// the drop returns, and no other task has to be woken for an exchange.
pub(crate) struct Upstream {
    sender: SendRequest<Full<Bytes>>,
    life: Life,
    sent: Sent,
    drive: Drive,
    /// `None` while an exchange has it. Kept with the connection: to set a
    /// timer later takes no lock, to make and drop one does.
    timer: Option<Pin<Box<Sleep>>>,
}

/// The part of a connection that has to be polled.
struct Life {
    conn: Connection<TokioIo<Watched>, Full<Bytes>>,
    /// Invariant: once true, `conn` is never polled again.
    ended: bool,
    /// More came than was asked for.
    surplus: bool,
}

impl Upstream {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// [`Failure::NotSent`], whatever the cause.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Box<Upstream>, Failure> {
        let connecting = timeout(limit, connect(address));
        let stream = connecting.await.map_err(|_| Failure::NotSent)?;
        let stream = stream.map_err(|_| Failure::NotSent)?;
        let sent = Sent::default();
        let io = TokioIo::new(Watched::new(stream, sent.clone()));
        let handshake = http1::Builder::new()
            .max_header_size(ANSWER_HEAD_BYTES)
            .handshake(io)
            .await;
        let (sender, conn) = handshake.map_err(|_| Failure::NotSent)?;
        Ok(Box::new(Upstream {
            sender,
            life: Life {
                conn,
                ended: false,
                surplus: false,
            },
            sent,
            drive: Drive::new(),
            timer: None,
        }))
    }

    /// Whether an exchange may start. Notices an end of the connection and
    /// bytes that came without a request.
    pub(crate) fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.life.poll(&mut cx);
        !self.life.ended && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// What provably happened. The connection is useless then.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.sent.reset();
        let mut answer = pin!(self.sender.try_send_request(req));
        let (life, drive) = (&mut self.life, &self.drive);
        let answer = poll_fn(|cx| {
            drive.poll(cx, |cx| {
                life.poll(cx);
                answer.as_mut().poll(cx)
            })
        });
        let answer = answer.await;
        answer.map_err(|e| Failure::of(e.error(), e.message().is_none() && self.sent.get()))
    }

    /// Takes the connection's timer, set to `deadline`.
    pub(crate) fn take_timer(&mut self, deadline: Instant) -> Pin<Box<Sleep>> {
        match self.timer.take() {
            Some(mut timer) => {
                timer.as_mut().reset(deadline);
                timer
            }
            None => Box::pin(sleep_until(deadline)),
        }
    }

    /// Gives the timer back.
    pub(crate) fn set_timer(&mut self, timer: Pin<Box<Sleep>>) {
        self.timer = Some(timer);
    }

    /// Whether the target may work on an exchange: a byte of it may have left,
    /// and the target did not end the connection.
    pub(crate) fn is_unfinished(&self) -> bool {
        self.sent.get() && !self.life.ended
    }

    /// The next exchange may not begin from `until` on.
    pub(crate) fn set_begin_until(&self, until: Option<Instant>) {
        self.sent.set_begin_until(until);
    }

    /// Whether a byte of the current exchange may have left.
    pub(crate) fn may_have_sent(&self) -> bool {
        self.sent.get()
    }

    /// The next frame of the answer's body.
    pub(crate) fn poll_frame(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let (life, drive) = (&mut self.life, &self.drive);
        let frame = drive.poll(cx, |cx| {
            let frame = Pin::new(&mut *body).poll_frame(cx);
            if frame.is_ready() {
                return frame;
            }
            life.poll(cx);
            Pin::new(&mut *body).poll_frame(cx)
        });
        frame.map(|frame| frame.map(|frame| frame.map_err(|e| Failure::of(&e, true))))
    }

    /// Looks, after the end of an answer, whether more came than its framing
    /// states.
    ///
    /// # Errors
    /// [`Failure::Surplus`]. Bytes that come later are met by
    /// [`Upstream::is_ready`].
    pub(crate) fn settle(&mut self) -> Result<(), Failure> {
        self.life.poll(&mut Context::from_waker(Waker::noop()));
        if self.life.surplus {
            Err(Failure::Surplus)
        } else {
            Ok(())
        }
    }
}

impl Life {
    fn poll(&mut self, cx: &mut Context<'_>) {
        if self.ended {
            return;
        }
        if let Poll::Ready(end) = Pin::new(&mut self.conn).poll(cx) {
            self.ended = true;
            self.surplus = end.is_err_and(|error| is_surplus(&error));
        }
    }
}

/// hyper hands an error to the exchange it concerns; here come the others. It
/// has no name for bytes that nobody asked for: they are what is left.
fn is_surplus(error: &hyper::Error) -> bool {
    let is_end = error.is_incomplete_message() || error.is_closed() || error.is_canceled();
    error.source().is_none() && !is_end
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
