//! Accepting connections and stopping gracefully.

use std::convert::Infallible;
use std::future::{Future, ready};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::sleep;

use crate::inbound::{Held, InboundConnection, InboundIo, RequestGuard};
use crate::respond::unavailable;
use crate::time_limit::READ_TURNS;
use crate::{Answer, ConnectionBudget, GuardedBody, Inbound, InboundLimits, RequestBody};

/// The receive buffer that is asked for on each connection, in bytes. Up to twice as much
/// waits there unread, and the system would enlarge it to some MB for a client that sends fast.
const RECEIVE_BUFFER: u32 = 8 * 1_024;
/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Answers of up to this size, in bytes, are not refused for want of memory.
const SMALL_ANSWER: usize = 4 * 1_024;

/// How long requests in progress may take to finish at a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// How long nothing is accepted after a connection could not be. Out of file
/// descriptors, the listener stays readable: trying again at once would take a
/// core and write a line each time. Callers wait this long at most.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The number of connections that are still accepted at a stop: what a busy thread may have
/// waiting at its listener.
const MAX_LATE_ACCEPTS: usize = 128;

/// Why a listener could not start.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// The address could not be bound: it is in use or not this machine's.
    /// Correct `listen` in the settings.
    #[snafu(display("cannot listen on {address}; free the address or correct listen"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request<RequestBody>) -> impl Future<Output = Answer> + Send;
}

/// A bound listener that answers nothing yet.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    local_addr: SocketAddr,
    budget: ConnectionBudget,
    inbound: Inbound,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    /// [`ListenError::Bind`] if the address cannot be had.
    pub async fn bind(address: SocketAddr) -> Result<Listener, ListenError> {
        let listener = listen_for_clients(address).context(BindSnafu { address })?;
        let local_addr = listener.local_addr().context(BindSnafu { address })?;
        Ok(Listener {
            listener,
            local_addr,
            budget: ConnectionBudget::unlimited(),
            inbound: Inbound::new(InboundLimits::default()),
        })
    }

    /// Counts its connections, and what they hold, together with those of other listeners.
    pub fn sharing(self, inbound: &Inbound) -> Listener {
        let inbound = inbound.clone();
        Listener { inbound, ..self }
    }

    /// Counts its connections in a budget. While that is short, each is closed
    /// after its answer.
    pub fn within(self, budget: ConnectionBudget) -> Listener {
        Listener { budget, ..self }
    }

    /// The bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Starts to answer.
    pub fn spawn<H: Handler>(self, handler: Arc<H>) -> RunningServer {
        let (stop, stopping) = watch::channel(());
        let Listener {
            listener,
            budget,
            inbound,
            ..
        } = self;
        let server = Server {
            handler,
            budget,
            inbound,
            connections: GracefulShutdown::new(),
        };
        let task = tokio::spawn(server.accept(listener, stopping));
        RunningServer { stop, task }
    }
}

/// A server that answers until it is stopped.
#[derive(Debug)]
pub struct RunningServer {
    stop: watch::Sender<()>,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Accepts nothing new and waits for the requests in progress.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

/// Listens with a receive buffer of a fixed size on each connection.
///
/// # Errors
/// The address cannot be had.
pub fn listen_for_clients(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER) {
        // More may wait unread then; all else holds.
        log::warn!("cannot set the receive buffer of {address}: {error}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// What accepts and serves the connections of one listener.
struct Server<H> {
    handler: Arc<H>,
    budget: ConnectionBudget,
    inbound: Inbound,
    connections: GracefulShutdown,
}

impl<H: Handler> Server<H> {
    async fn accept(self, listener: TcpListener, mut stopping: watch::Receiver<()>) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.admit(stream).await,
                    Err(error) => {
                        log::warn!("cannot accept a connection: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = stopping.changed() => break,
            }
        }
        self.serve_arrived(&listener).await;
        drop(listener);
        let shutdown = self.connections.shutdown();
        if tokio::time::timeout(DRAIN_TIMEOUT, shutdown).await.is_err() {
            log::warn!("a request was still in progress after {DRAIN_TIMEOUT:?}");
        }
    }

    /// Accepts connections that were opened before the stop, and lets all connections read
    /// what arrived before it: a thread that was busy has seen neither yet.
    async fn serve_arrived(&self, listener: &TcpListener) {
        // Resumes only after the event loop has asked the system for events.
        yield_now().await;
        for _ in 0..MAX_LATE_ACCEPTS {
            tokio::select! {
                biased;
                Ok((stream, _)) = listener.accept() => self.admit(stream).await,
                () = ready(()) => break,
            }
        }
        for _ in 0..READ_TURNS {
            yield_now().await;
        }
    }

    /// Serves a connection if there is a place for it; else it is closed.
    async fn admit(&self, stream: TcpStream) {
        if let Some(client) = self.inbound.admit().await {
            self.serve(stream, client);
        }
    }

    fn serve(&self, stream: TcpStream, client: InboundConnection) {
        let counted = self.budget.count();
        let io = TokioIo::new(InboundIo::new(stream, client.clone()));
        let service = {
            let (handler, budget) = (self.handler.clone(), self.budget.clone());
            let client = client.clone();
            service_fn(move |req| answer(handler.clone(), budget.clone(), client.clone(), req))
        };
        let connection = http1::Builder::new()
            .max_buf_size(client.limits().head_bytes)
            // `InboundIo` has the limits of heads and of idle connections.
            .header_read_timeout(None)
            .serve_connection(io, service);
        let connection = self.connections.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                ended = connection => if let Err(error) = ended {
                    log::debug!("a connection ended: {error}");
                },
                () = client.evicted() => {}
            }
            drop(counted);
        });
    }
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    budget: ConnectionBudget,
    client: InboundConnection,
    req: Request<Incoming>,
) -> Result<Response<GuardedBody<Full<Bytes>, Arc<AnswerGuard>>>, Infallible> {
    let guard = client.begin_request();
    let may_repeat = req.method().is_safe();
    let req = req.map(|body| RequestBody::new(body, client.clone()));
    let mut answer = handler.handle(req).await;
    let held = hold_answer(&client, &mut answer, may_repeat).await;
    if budget.is_short() || client.is_evicted() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    let guard = Arc::new(AnswerGuard {
        _request: guard,
        _held: held,
    });
    Ok(answer.map(|body| GuardedBody::new(body, guard)))
}

/// What lasts until an answer is written.
struct AnswerGuard {
    _request: RequestGuard,
    _held: Held,
}

/// Counts the memory of an answer. Without memory for it, a large one to a request that
/// changes nothing is replaced.
async fn hold_answer(client: &InboundConnection, answer: &mut Answer, may_repeat: bool) -> Held {
    let bytes = answer.body().size_hint().lower();
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    if may_repeat && bytes > SMALL_ANSWER {
        match client.hold(bytes).await {
            Ok(held) => return held,
            Err(full) => *answer = unavailable(&full.to_string()),
        }
        return client.hold_nothing();
    }
    client.hold_anyway(bytes)
}
