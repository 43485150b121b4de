//! Connections of callers.

use std::future::{Future, poll_fn};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;

use super::caller_connection::CallerConnection;
use super::caller_io::CallerIo;
use super::handle::handle;
use super::shared::{Phase, SharedState};
use crate::control::Control;

/// After a failed accept, as when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// When the entry closes, what a new connection has sent may still be unread;
/// hyper would close it without a look.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Header blocks up to this factor of the limit get an answer of ours; beyond
/// it hyper refuses them with a bare 431.
const HYPER_HEADER_LIMIT_FACTOR: usize = 4;

pub(super) fn spawn<C: Control>(shared: &Arc<SharedState<C>>, listener: TcpListener) {
    let work = shared.work_token();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let _work = work;
        accept_all(&shared, listener).await;
    });
}

/// Accepts until the entry closes, and then what has already connected.
async fn accept_all<C: Control>(shared: &Arc<SharedState<C>>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(shared.cfg.limits.max_connections));
    let mut phase = shared.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_for_closing_phase(&mut phase) => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        match accepted {
            Ok((stream, permit)) => spawn_connection(shared, stream, Some(permit)),
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Some(Ok((stream, _))) = now_or_never(listener.accept()).await {
        spawn_connection(shared, stream, None);
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// Ends when the connection should close after its present request.
async fn wait_for_close(phase: &mut watch::Receiver<Phase>, connection: &CallerConnection) {
    wait_for_closing_phase(phase).await;
    if !connection.has_received_request() {
        sleep(FIRST_REQUEST_TIMEOUT).await;
    }
}

async fn wait_for_closing_phase(phase: &mut watch::Receiver<Phase>) {
    // An error means that the sender is gone, which ends the entry as well.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

fn spawn_connection<C: Control>(
    shared: &Arc<SharedState<C>>,
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
) {
    let work = shared.work_token();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let _held = (work, permit);
        serve_connection(shared, stream).await;
    });
}

async fn serve_connection<C: Control>(shared: Arc<SharedState<C>>, stream: TcpStream) {
    // A socket without it is slower, not wrong.
    let _ = stream.set_nodelay(true);
    let limits = &shared.cfg.limits;
    let connection = CallerConnection::default();
    let io = CallerIo::new(stream, limits, connection.clone());
    let mut phase = shared.phase.subscribe();
    let service = service_fn(|req| handle(Arc::clone(&shared), connection.clone(), req));
    let conn = http1::Builder::new()
        .max_header_size(limits.max_header_bytes * HYPER_HEADER_LIMIT_FACTOR)
        .serve_connection(TokioIo::new(io), service);
    let mut conn = pin!(conn);
    tokio::select! {
        biased;
        _ = conn.as_mut() => return,
        () = wait_for_close(&mut phase, &connection) => {}
    }
    conn.as_mut().graceful_shutdown();
    // A broken connection is the caller's end of it.
    let _ = conn.await;
}

/// The output of `work` if it is there without waiting.
async fn now_or_never<F: Future>(work: F) -> Option<F::Output> {
    let mut work = pin!(work);
    poll_fn(|cx| match work.as_mut().poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
