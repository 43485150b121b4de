//! A client that keeps a few connections to each address.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// How a client treats each address.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// How many exchanges may be under way at once; others wait.
    pub connections: usize,
    /// How long opening a connection may take.
    pub connect_limit: Duration,
    /// The largest body taken, in bytes.
    pub max_body: usize,
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

type Sender = SendRequest<Full<Bytes>>;

/// The connections to one address.
#[derive(Debug)]
struct Host {
    permits: Semaphore,
    /// Connections without an exchange.
    idle: Mutex<Vec<Sender>>,
}

/// Keeps connections to many addresses. A connection whose exchange was given
/// up is closed: a late answer must not be taken for that of a later request.
#[derive(Debug)]
pub struct Client {
    cfg: ClientConfig,
    hosts: Mutex<IndexMap<Box<str>, Arc<Host>>>,
}

impl Client {
    /// A client without connections.
    pub fn new(cfg: ClientConfig) -> Client {
        Client {
            cfg,
            hosts: Mutex::new(IndexMap::new()),
        }
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
        let host = self.host(address);
        let not_sent = |reason: &str| CallError::NotSent {
            address: address.into(),
            reason: reason.into(),
        };
        let Ok(Ok(_permit)) = timeout(limit, host.permits.acquire()).await else {
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
        let mut tx = match take_idle(&host).await {
            Some(tx) => tx,
            None => self.connect(address, limit).await?,
        };
        let exchange = exchange(&mut tx, req, self.cfg.max_body);
        let result = match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err("no whole answer in time".into()),
        };
        match result {
            Ok(reply) => {
                let mut idle = host.idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.push(tx);
                Ok(reply)
            }
            Err(reason) => Err(CallError::NoAnswer {
                address: address.into(),
                reason,
            }),
        }
    }

    fn host(&self, address: &str) -> Arc<Host> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(host) = hosts.get(address) {
            return host.clone();
        }
        let host = Arc::new(Host {
            permits: Semaphore::new(self.cfg.connections),
            idle: Mutex::new(Vec::new()),
        });
        hosts.insert(address.into(), host.clone());
        host
    }

    async fn connect(&self, address: &str, limit: Duration) -> Result<Sender, CallError> {
        let not_sent = |reason: String| CallError::NotSent {
            address: address.into(),
            reason: reason.into(),
        };
        let limit = limit.min(self.cfg.connect_limit);
        let opening = timeout(limit, TcpStream::connect(address)).await;
        let opening = opening.map_err(|_| not_sent("not connected in time".into()))?;
        let stream = opening.map_err(|error| not_sent(error.to_string()))?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {error}");
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (tx, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let address: Box<str> = address.into();
        tokio::spawn(async move {
            // An exchange under way reports the error to its sender.
            if let Err(error) = connection.await {
                log::debug!("the connection to {address} ended: {error}");
            }
        });
        Ok(tx)
    }
}

/// A kept connection that is still open.
async fn take_idle(host: &Host) -> Option<Sender> {
    loop {
        let next = {
            let mut idle = host.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.pop()
        };
        let mut tx = next?;
        if !tx.is_closed() && tx.ready().await.is_ok() {
            return Some(tx);
        }
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
