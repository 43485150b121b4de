//! The baseline: a bare hyper forwarder without any feature.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self as client, SendRequest};
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::FakeError;
use crate::error::{BindSnafu, ConnectSnafu, ExchangeSnafu};

/// Forwards every request as it is to one upstream over kept connections.
/// Dropping it stops it from accepting.
#[derive(Debug)]
pub struct Forwarder {
    address: SocketAddr,
    server: JoinHandle<()>,
}

impl Forwarder {
    /// Listens on `address`.
    ///
    /// # Errors
    /// [`FakeError::Bind`]
    pub async fn bind(address: SocketAddr, upstream: SocketAddr) -> Result<Forwarder, FakeError> {
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let pool = Arc::new(Pool::new(upstream));
        let server = tokio::spawn(accept(listener, pool));
        Ok(Forwarder { address, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn accept(listener: TcpListener, pool: Arc<Pool>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let pool = Arc::clone(&pool);
        let service = service_fn(move |req| forward(Arc::clone(&pool), req));
        let connection = server::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn forward(
    pool: Arc<Pool>,
    req: Request<Incoming>,
) -> Result<Response<PooledBody>, FakeError> {
    let mut tx = pool.take().await?;
    let address = pool.upstream;
    let answer = tx
        .send_request(req)
        .await
        .context(ExchangeSnafu { address })?;
    let body = |body| PooledBody {
        body,
        tx: Some(tx),
        pool,
    };
    Ok(answer.map(body))
}

/// Idle connections to the upstream, the latest used first.
struct Pool {
    upstream: SocketAddr,
    idle: Mutex<Vec<SendRequest<Incoming>>>,
}

impl Pool {
    fn new(upstream: SocketAddr) -> Pool {
        let idle = Mutex::default();
        Pool { upstream, idle }
    }

    async fn take(&self) -> Result<SendRequest<Incoming>, FakeError> {
        while let Some(mut tx) = self.pop() {
            if tx.ready().await.is_ok() {
                return Ok(tx);
            }
        }
        self.connect().await
    }

    fn pop(&self) -> Option<SendRequest<Incoming>> {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop()
    }

    fn put(&self, tx: SendRequest<Incoming>) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(tx);
    }

    async fn connect(&self) -> Result<SendRequest<Incoming>, FakeError> {
        let address = self.upstream;
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (tx, connection) = client::handshake(TokioIo::new(stream))
            .await
            .context(ExchangeSnafu { address })?;
        tokio::spawn(connection);
        Ok(tx)
    }
}

/// An answer's body that gives its connection back once it is whole.
struct PooledBody {
    body: Incoming,
    tx: Option<SendRequest<Incoming>>,
    pool: Arc<Pool>,
}

impl PooledBody {
    fn give_back(&mut self) {
        if let Some(tx) = self.tx.take() {
            self.pool.put(tx);
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let failed = matches!(frame, Some(Err(_)));
        if failed {
            self.tx = None;
        } else if frame.is_none() || self.body.is_end_stream() {
            self.give_back();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
