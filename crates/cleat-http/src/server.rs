//! Accepting connections and stopping gracefully.

use std::convert::Infallible;
use std::future::{Future, ready};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::sleep;

use crate::time_limit::READ_TURNS;
use crate::{Answer, ConnectionBudget};

/// How long a client may take to send its header block.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
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
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// A bound listener that answers nothing yet.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    local_addr: SocketAddr,
    budget: ConnectionBudget,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    /// [`ListenError::Bind`] if the address cannot be had.
    pub async fn bind(address: SocketAddr) -> Result<Listener, ListenError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(BindSnafu { address })?;
        let local_addr = listener.local_addr().context(BindSnafu { address })?;
        Ok(Listener {
            listener,
            local_addr,
            budget: ConnectionBudget::unlimited(),
        })
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
        let task = tokio::spawn(accept(self, handler, stopping));
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

async fn accept<H: Handler>(
    Listener {
        listener, budget, ..
    }: Listener,
    handler: Arc<H>,
    mut stopping: watch::Receiver<()>,
) {
    let connections = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream, handler.clone(), &budget, &connections),
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = stopping.changed() => break,
        }
    }
    serve_arrived(&listener, &handler, &budget, &connections).await;
    drop(listener);
    if tokio::time::timeout(DRAIN_TIMEOUT, connections.shutdown())
        .await
        .is_err()
    {
        log::warn!("a request was still in progress after {DRAIN_TIMEOUT:?}");
    }
}

/// Accepts connections that were opened before the stop, and lets all connections read what
/// arrived before it: a thread that was busy has seen neither yet.
async fn serve_arrived<H: Handler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    budget: &ConnectionBudget,
    connections: &GracefulShutdown,
) {
    // Resumes only after the event loop has asked the system for events.
    yield_now().await;
    for _ in 0..MAX_LATE_ACCEPTS {
        tokio::select! {
            biased;
            Ok((stream, _)) = listener.accept() => {
                serve(stream, handler.clone(), budget, connections);
            }
            () = ready(()) => break,
        }
    }
    for _ in 0..READ_TURNS {
        yield_now().await;
    }
}

fn serve<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    budget: &ConnectionBudget,
    connections: &GracefulShutdown,
) {
    let counted = budget.count();
    let budget = budget.clone();
    let service = service_fn(move |req| {
        let (handler, budget) = (handler.clone(), budget.clone());
        async move {
            let mut answer = handler.handle(req).await;
            if budget.is_short() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection ended: {error}");
        }
        drop(counted);
    });
}
