//! A client that keeps a few connections to each address.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::SemaphorePermit;

use crate::ConnectionBudget;
use crate::pool::{Host, HostUse, Pool, Sender};
use crate::time_limit::within;

/// The headers of each request: `host`, `content-type`, and the `content-length` that hyper adds.
const OWN_HEADERS: usize = 3;

/// How a client treats each address.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// How many exchanges may be under way at once; others wait.
    pub connections: usize,
    /// How long opening a connection may take.
    pub connect_limit: Duration,
    /// The largest body taken, in bytes.
    pub max_body: usize,
    /// Where the open connections count. While it is short, the client keeps
    /// none that is idle.
    pub budget: ConnectionBudget,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Snafu)]
pub enum CallError {
    /// There was no connection in time, so nothing was sent.
    #[snafu(display("no connection to {address}: {reason}"))]
    NotSent {
        /// Where to.
        address: Box<str>,
        /// What the system says.
        reason: Box<str>,
    },
    /// The request may have arrived; no whole answer came in time.
    #[snafu(display("no answer from {address}: {reason}"))]
    NoAnswer {
        /// Where from.
        address: Box<str>,
        /// What happened.
        reason: Box<str>,
    },
}

/// Keeps connections to many addresses. A connection whose exchange was given
/// up is closed: a late answer must not be taken for that of a later request.
#[derive(Debug)]
pub struct Client {
    cfg: ClientConfig,
    pool: Arc<Pool>,
}

impl Client {
    /// A client without connections.
    pub fn new(cfg: ClientConfig) -> Client {
        let pool = Arc::new(Pool::new(cfg.connections));
        Client { cfg, pool }
    }

    /// How many addresses it has a connection to, or is calling.
    pub fn addresses(&self) -> usize {
        self.pool.addresses()
    }

    /// Sends a JSON body, if there is one, and waits for the whole answer.
    ///
    /// # Errors
    /// See [`CallError`]; only `NoAnswer` may have had an effect.
    pub async fn call(
        &self,
        address: &str,
        method: Method,
        path: &str,
        headers: &[(HeaderName, HeaderValue)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let called = self
            .call_on_any(address, method, path, headers, body, limit)
            .await;
        if called.is_err() {
            self.pool.forget_closed(address);
        }
        called
    }

    async fn call_on_any(
        &self,
        address: &str,
        method: Method,
        path: &str,
        headers: &[(HeaderName, HeaderValue)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let host_use = self.pool.use_host(address);
        let host = host_use.host();
        let not_sent = |reason: &str| CallError::NotSent {
            address: address.into(),
            reason: reason.into(),
        };
        let Some(_permit) = permit(host, limit).await else {
            return Err(not_sent("all connections are in use"));
        };
        let host_header = host.header.clone();
        let host_header = host_header.ok_or_else(|| not_sent("not a valid host header"))?;
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(&error.to_string()))?;
        *req.headers_mut() = header_map(host_header, headers);
        let mut tx = match take_idle(&host_use).await {
            Some(tx) => tx,
            None => self.connect(address, limit).await?,
        };
        let exchange = exchange(&mut tx, req, self.cfg.max_body);
        let result = within(limit, exchange).await;
        match result.unwrap_or_else(|| Err("no whole answer in time".into())) {
            Ok(reply) => {
                if !self.cfg.budget.is_short() {
                    host_use.keep(tx);
                }
                Ok(reply)
            }
            Err(reason) => Err(CallError::NoAnswer {
                address: address.into(),
                reason,
            }),
        }
    }

    async fn connect(&self, address: &str, limit: Duration) -> Result<Sender, CallError> {
        let not_sent = |reason: String| CallError::NotSent {
            address: address.into(),
            reason: reason.into(),
        };
        if self.cfg.budget.is_short() {
            self.pool.close_oldest();
        }
        let counted = self.cfg.budget.count();
        let limit = limit.min(self.cfg.connect_limit);
        let opening = within(limit, TcpStream::connect(address)).await;
        let opening = opening.ok_or_else(|| not_sent("not connected in time".into()))?;
        let stream = opening.map_err(|error| not_sent(error.to_string()))?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {error}");
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (tx, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let (address, pool): (Box<str>, _) = (address.into(), self.pool.clone());
        tokio::spawn(async move {
            // An exchange under way reports the error to its sender.
            if let Err(error) = connection.await {
                log::debug!("the connection to {address} ended: {error}");
            }
            drop(counted);
            pool.forget_closed(&address);
        });
        Ok(tx)
    }
}

/// A permit for an exchange, if there is one in time.
async fn permit(host: &Host, limit: Duration) -> Option<SemaphorePermit<'_>> {
    if let Ok(permit) = host.permits.try_acquire() {
        return Some(permit);
    }
    within(limit, host.permits.acquire()).await?.ok()
}

/// A kept connection that is still open.
async fn take_idle(host_use: &HostUse<'_>) -> Option<Sender> {
    loop {
        let mut tx = host_use.take()?;
        if !tx.is_closed() && tx.ready().await.is_ok() {
            return Some(tx);
        }
    }
}

/// The headers of a request, with room for those of hyper.
fn header_map(host: HeaderValue, headers: &[(HeaderName, HeaderValue)]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(OWN_HEADERS + headers.len());
    map.insert(HOST, host);
    map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for (name, value) in headers {
        map.insert(name, value.clone());
    }
    map
}

async fn exchange(
    tx: &mut Sender,
    req: Request<Full<Bytes>>,
    max_body: usize,
) -> Result<Reply, Box<str>> {
    let answer = tx.send_request(req).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), max_body).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok(Reply { status, body })
}
