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
use super::driver::Driver;
use super::tracked_stream::{SendState, TrackedStream};

/// The most bytes of an answer's header block.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1_024;

/// An open connection.
///
/// Boxed, because it is large and passed on with its slot. The task that uses it drives it, so dropping it closes the socket before
/// the drop returns, and no other task has to be woken for an exchange.
pub(crate) struct Upstream {
    sender: SendRequest<Full<Bytes>>,
    polled: PolledConnection,
    send_state: SendState,
    driver: Driver,
    /// `None` while an exchange has it. Kept with the connection: to set a
    /// timer later takes no lock, to make and drop one does.
    timer: Option<Pin<Box<Sleep>>>,
}

/// The part of a connection that has to be polled.
struct PolledConnection {
    conn: Connection<TokioIo<TrackedStream>, Full<Bytes>>,
    /// Invariant: once true, `conn` is never polled again.
    ended: bool,
    /// More came than was asked for.
    has_trailing_bytes: bool,
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
        let send_state = SendState::default();
        let io = TokioIo::new(TrackedStream::new(stream, send_state.clone()));
        let handshake = http1::Builder::new()
            .max_header_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(io)
            .await;
        let (sender, conn) = handshake.map_err(|_| Failure::NotSent)?;
        Ok(Box::new(Upstream {
            sender,
            polled: PolledConnection {
                conn,
                ended: false,
                has_trailing_bytes: false,
            },
            send_state,
            driver: Driver::new(),
            timer: None,
        }))
    }

    /// Whether an exchange may start. Notices an end of the connection and
    /// bytes that came without a request.
    pub(crate) fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.polled.poll(&mut cx);
        !self.polled.ended && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// What provably happened. The connection is useless then.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.send_state.reset();
        let mut response = pin!(self.sender.try_send_request(request));
        let (polled, driver) = (&mut self.polled, &self.driver);
        let response = poll_fn(|cx| {
            driver.poll(cx, |cx| {
                polled.poll(cx);
                response.as_mut().poll(cx)
            })
        });
        let response = response.await;
        response.map_err(|e| {
            Failure::from_hyper(
                e.error(),
                e.message().is_none() && self.send_state.may_have_sent(),
            )
        })
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
        self.send_state.may_have_sent() && !self.polled.ended
    }

    /// The next exchange may not begin from `until` on.
    pub(crate) fn set_start_deadline(&self, until: Option<Instant>) {
        self.send_state.set_start_deadline(until);
    }

    /// Whether a byte of the current exchange may have left.
    pub(crate) fn may_have_sent(&self) -> bool {
        self.send_state.may_have_sent()
    }

    /// The next frame of the answer's body.
    pub(crate) fn poll_frame(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let (polled, driver) = (&mut self.polled, &self.driver);
        let frame = driver.poll(cx, |cx| {
            let frame = Pin::new(&mut *body).poll_frame(cx);
            if frame.is_ready() {
                return frame;
            }
            polled.poll(cx);
            Pin::new(&mut *body).poll_frame(cx)
        });
        frame.map(|frame| frame.map(|frame| frame.map_err(|e| Failure::from_hyper(&e, true))))
    }

    /// Looks, after the end of an answer, whether more came than its framing
    /// states.
    ///
    /// # Errors
    /// [`Failure::TrailingBytes`]. Bytes that come later are met by
    /// [`Upstream::is_ready`].
    pub(crate) fn check_trailing_bytes(&mut self) -> Result<(), Failure> {
        self.polled.poll(&mut Context::from_waker(Waker::noop()));
        if self.polled.has_trailing_bytes {
            Err(Failure::TrailingBytes)
        } else {
            Ok(())
        }
    }
}

impl PolledConnection {
    fn poll(&mut self, cx: &mut Context<'_>) {
        if self.ended {
            return;
        }
        if let Poll::Ready(end) = Pin::new(&mut self.conn).poll(cx) {
            self.ended = true;
            self.has_trailing_bytes = end.is_err_and(|error| is_trailing_bytes(&error));
        }
    }
}

/// hyper hands an error to the exchange it concerns; here come the others. It
/// has no name for bytes that nobody asked for: they are what is left.
fn is_trailing_bytes(error: &hyper::Error) -> bool {
    let is_end = error.is_incomplete_message() || error.is_closed() || error.is_canceled();
    error.source().is_none() && !is_end
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
