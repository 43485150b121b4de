//! A plain HTTP/1.1 client over one connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;

use crate::FakeError;
use crate::error::{ConnectSnafu, ExchangeSnafu};

/// One keep-alive connection.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    tx: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    /// [`FakeError::Connect`] or [`FakeError::Exchange`].
    pub async fn open(address: SocketAddr) -> Result<HttpConnection, FakeError> {
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let (tx, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(ExchangeSnafu { address })?;
        // The exchange reports the connection's error to its sender.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(HttpConnection { address, tx })
    }

    /// Whether the other side still takes requests here.
    pub fn is_open(&self) -> bool {
        !self.tx.is_closed()
    }

    /// Sends `req` and returns the head of the answer, its body unread.
    ///
    /// # Errors
    /// [`FakeError::Exchange`]
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, FakeError> {
        let address = self.address;
        self.tx.ready().await.context(ExchangeSnafu { address })?;
        let answer = self.tx.send_request(req).await;
        answer.context(ExchangeSnafu { address })
    }
}

/// Sends one request over a connection of its own and reads the whole answer.
///
/// # Errors
/// [`FakeError::Connect`], or [`FakeError::Exchange`] also for a cut answer.
pub async fn fetch(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, FakeError> {
    let mut connection = HttpConnection::open(address).await?;
    let answer = connection.send(req).await?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.context(ExchangeSnafu { address })?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
