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

use super::caller_io::CallerIo;
use super::connection::Connection;
use super::handle::handle;
use super::shared::{Phase, Shared};
use crate::control::Control;

/// After a failed accept, as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When the entry closes, what a new connection has sent may still be unread;
/// hyper would close it without a look.
const FIRST_REQUEST: Duration = Duration::from_millis(100);
/// Header blocks up to this factor of the limit get an answer of ours; beyond
/// it hyper refuses them with a bare 431.
const HEADER_FACTOR: usize = 4;

pub(super) fn spawn<C: Control>(shared: &Arc<Shared<C>>, listener: TcpListener) {
    let work = shared.work_token();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let _work = work;
        accept_all(&shared, listener).await;
    });
}

/// Accepts until the entry closes, and then what has already connected.
async fn accept_all<C: Control>(shared: &Arc<Shared<C>>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(shared.cfg.limits.max_connections));
    let mut phase = shared.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            () = is_closing(&mut phase) => break,
            accepted = accept(&listener, &places) => accepted,
        };
        match accepted {
            Ok((stream, place)) => serve(shared, stream, Some(place)),
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    while let Some(Ok((stream, _))) = now_or_never(listener.accept()).await {
        serve(shared, stream, None);
    }
}

async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await;
    let place = place.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, place))
}

/// Ends when the connection should close after its present request.
async fn is_to_close(phase: &mut watch::Receiver<Phase>, connection: &Connection) {
    is_closing(phase).await;
    if !connection.has_begun() {
        sleep(FIRST_REQUEST).await;
    }
}

async fn is_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the sender is gone, which ends the entry as well.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

fn serve<C: Control>(
    shared: &Arc<Shared<C>>,
    stream: TcpStream,
    place: Option<OwnedSemaphorePermit>,
) {
    let work = shared.work_token();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let _held = (work, place);
        serve_connection(shared, stream).await;
    });
}

async fn serve_connection<C: Control>(shared: Arc<Shared<C>>, stream: TcpStream) {
    // A socket without it is slower, not wrong.
    let _ = stream.set_nodelay(true);
    let limits = &shared.cfg.limits;
    let connection = Connection::default();
    let io = CallerIo::new(stream, limits, connection.clone());
    let mut phase = shared.phase.subscribe();
    let service = service_fn(|req| handle(Arc::clone(&shared), connection.clone(), req));
    let conn = http1::Builder::new()
        .max_header_size(limits.max_header_bytes * HEADER_FACTOR)
        .serve_connection(TokioIo::new(io), service);
    let mut conn = pin!(conn);
    tokio::select! {
        biased;
        _ = conn.as_mut() => return,
        () = is_to_close(&mut phase, &connection) => {}
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
