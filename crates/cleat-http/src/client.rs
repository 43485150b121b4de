//! A client that keeps a few connections to each address.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;

use crate::ConnectionBudget;
use crate::pool::{Pool, Sender};
use crate::time_limit::within;

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
        let permits = self.pool.permits(address);
        let not_sent = |reason: &str| CallError::NotSent {
            address: address.into(),
            reason: reason.into(),
        };
        let Some(Ok(_permit)) = within(limit, permits.acquire()).await else {
            return Err(not_sent("all connections are in use"));
        };
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(&error.to_string()))?;
        for (name, value) in headers {
            req.headers_mut().insert(name, value.clone());
        }
        let mut tx = match self.take_idle(address).await {
            Some(tx) => tx,
            None => self.connect(address, limit).await?,
        };
        let exchange = exchange(&mut tx, req, self.cfg.max_body);
        let result = within(limit, exchange).await;
        match result.unwrap_or_else(|| Err("no whole answer in time".into())) {
            Ok(reply) => {
                if !self.cfg.budget.is_short() {
                    self.pool.keep(address, tx);
                }
                Ok(reply)
            }
            Err(reason) => Err(CallError::NoAnswer {
                address: address.into(),
                reason,
            }),
        }
    }

    /// A kept connection that is still open.
    async fn take_idle(&self, address: &str) -> Option<Sender> {
        loop {
            let mut tx = self.pool.take(address)?;
            if !tx.is_closed() && tx.ready().await.is_ok() {
                return Some(tx);
            }
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
