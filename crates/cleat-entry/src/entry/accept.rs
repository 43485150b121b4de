//! Accepts and serves connections of callers.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use cleat_http::InboundConnection;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use super::caller_connection::CallerConnection;
use super::caller_io::CallerIo;
use super::handle::handle;
use super::shared::{Phase, SharedState};
use crate::control::Control;

/// The delay after a failed accept, for example when no file descriptor is
/// free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a new connection is kept open for its first request when the entry
/// closes. The request may already have been sent, but hyper would close the
/// connection without reading it.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// The size of the receive buffer, as a multiple of the limit of a header block. Up to it a
/// request gets a problem response that names what is too large, a long URI too; hyper rejects
/// larger ones with a bare 431.
const BUFFER_FACTOR: usize = 3;

pub(super) fn spawn<C: Control>(shared: &Arc<SharedState<C>>, listener: TcpListener) {
    let work = shared.work_token();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let _work = work;
        accept_all(&shared, listener).await;
    });
}

/// Accepts connections until the entry closes, then also accepts those that are
/// already in the backlog.
async fn accept_all<C: Control>(shared: &Arc<SharedState<C>>, listener: TcpListener) {
    let mut phase = shared.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_for_closing_phase(&mut phase) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let admitted = tokio::select! {
                    biased;
                    () = wait_for_closing_phase(&mut phase) => Some(shared.inbound.admit_anyway()),
                    admitted = shared.inbound.admit() => admitted,
                };
                // Without a place the connection is closed.
                if let Some(client) = admitted {
                    spawn_connection(shared, stream, client);
                }
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Some(Ok((stream, _))) = now_or_never(listener.accept()).await {
        spawn_connection(shared, stream, shared.inbound.admit_anyway());
    }
}

/// Waits until the connection should close after the current request.
async fn wait_for_close(phase: &mut watch::Receiver<Phase>, connection: &CallerConnection) {
    wait_for_closing_phase(phase).await;
    if !connection.has_received_request() {
        sleep(FIRST_REQUEST_TIMEOUT).await;
    }
}

async fn wait_for_closing_phase(phase: &mut watch::Receiver<Phase>) {
    // An error means that the sender was dropped, which also stops the entry.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

fn spawn_connection<C: Control>(
    shared: &Arc<SharedState<C>>,
    stream: TcpStream,
    client: InboundConnection,
) {
    let work = shared.work_token();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let _work = work;
        serve_connection(shared, stream, client).await;
    });
}

async fn serve_connection<C: Control>(
    shared: Arc<SharedState<C>>,
    stream: TcpStream,
    client: InboundConnection,
) {
    // A failure only costs latency.
    let _ = stream.set_nodelay(true);
    let limits = &shared.cfg.limits;
    let connection = CallerConnection::new(client.clone());
    let io = CallerIo::new(stream, connection.clone());
    let mut phase = shared.phase.subscribe();
    let service = service_fn(|req| handle(Arc::clone(&shared), connection.clone(), req));
    let conn = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes * BUFFER_FACTOR)
        // `CallerIo` has the limits of heads and of idle connections.
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(io), service);
    let mut conn = pin!(conn);
    tokio::select! {
        biased;
        _ = conn.as_mut() => return,
        () = client.evicted() => return,
        () = wait_for_close(&mut phase, &connection) => {}
    }
    conn.as_mut().graceful_shutdown();
    tokio::select! {
        // An error means that the connection to the caller failed; there is nobody
        // to report it to.
        _ = conn => {}
        () = client.evicted() => {}
    }
}

/// Polls `work` once and returns its output if it is ready.
async fn now_or_never<F: Future>(work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    poll_fn(|cx| match work.as_mut().poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
