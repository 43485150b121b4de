//! Accepts connections and serves them until the target stops.

use std::pin::pin;
use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::answer::answer;
use super::stream::SharedStream;
use super::{Phase, Shared};

/// Serves until `phase` says to stop, then finishes what is in progress.
pub(super) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let task = serve_connection(stream, Arc::clone(&shared), phase.clone());
                connections.spawn(task);
            }
            Some(_) = connections.join_next() => {}
            () = stopped(&mut phase) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    mut phase: watch::Receiver<Phase>,
) {
    let _guard = shared.counters.begin_connection();
    let _ = stream.set_nodelay(true);
    let stream = SharedStream(Arc::new(stream));
    let service = {
        let stream = stream.clone();
        service_fn(move |req| answer(Arc::clone(&shared), stream.clone(), req))
    };
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stopped(&mut phase) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Ends when the target stops, or its handle is gone.
async fn stopped(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Stopping).await;
}
