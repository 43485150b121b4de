//! A connection to a target with at most one exchange at a time.

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

/// The maximum size of the header block of a response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1_024;

/// An open connection.
///
/// Boxed, because it is large and moved along with its slot. It is polled by
/// the task that uses it, not by a task of its own. Dropping it therefore
/// closes the socket immediately, and an exchange wakes no other task.
pub(crate) struct Upstream {
    sender: SendRequest<Full<Bytes>>,
    polled: PolledConnection,
    send_state: SendState,
    driver: Driver,
    /// `None` while an exchange uses it. The timer is reused, because resetting
    /// a timer takes no lock, while creating and dropping one does.
    timer: Option<Pin<Box<Sleep>>>,
}

/// The part of a connection that has to be polled.
struct PolledConnection {
    conn: Connection<TokioIo<TrackedStream>, Full<Bytes>>,
    /// Invariant: once true, `conn` is never polled again.
    ended: bool,
    /// Whether more bytes were received than requested.
    has_trailing_bytes: bool,
}

impl Upstream {
    /// Opens a connection within `limit`.
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

    /// Whether an exchange can start. Detects if the connection was closed or
    /// unrequested bytes were received.
    pub(crate) fn is_ready(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.polled.poll(&mut cx);
        !self.polled.ended && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// The proven cause. The connection must not be used again.
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

    /// Takes the timer of the connection and sets it to `deadline`.
    pub(crate) fn take_timer(&mut self, deadline: Instant) -> Pin<Box<Sleep>> {
        match self.timer.take() {
            Some(mut timer) => {
                timer.as_mut().reset(deadline);
                timer
            }
            None => Box::pin(sleep_until(deadline)),
        }
    }

    /// Puts back the timer.
    pub(crate) fn set_timer(&mut self, timer: Pin<Box<Sleep>>) {
        self.timer = Some(timer);
    }

    /// Whether the target may be working on a request: bytes of the request may
    /// have been sent, and the target did not close the connection.
    pub(crate) fn is_unfinished(&self) -> bool {
        self.send_state.may_have_sent() && !self.polled.ended
    }

    /// The next exchange must start before `deadline`.
    pub(crate) fn set_start_deadline(&self, deadline: Option<Instant>) {
        self.send_state.set_start_deadline(deadline);
    }

    /// Whether bytes of the current exchange may have been sent.
    pub(crate) fn may_have_sent(&self) -> bool {
        self.send_state.may_have_sent()
    }

    /// Polls the next frame of the response body.
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

    /// Checks, after the end of a response, whether more bytes were received
    /// than its framing states.
    ///
    /// # Errors
    /// [`Failure::TrailingBytes`]. Bytes that are received later are detected
    /// by [`Upstream::is_ready`].
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

/// Whether the error was caused by unrequested bytes. hyper has no error kind
/// for them. It reports an error to the exchange that it concerns, so among the
/// others, those that don't indicate a closed connection are caused by such
/// bytes.
fn is_trailing_bytes(error: &hyper::Error) -> bool {
    let is_end = error.is_incomplete_message() || error.is_closed() || error.is_canceled();
    error.source().is_none() && !is_end
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
