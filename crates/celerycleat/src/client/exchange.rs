//! One request to one server.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Failure;
use super::attempt::{BrokenSnafu, BuildSnafu, ConnectSnafu, FormSnafu};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than an instance waits for a change to be in force everywhere.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    body: Bytes,
}

impl Answer {
    /// The body as JSON of a known form.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        let status = self.status;
        serde_json::from_slice(&self.body).context(FormSnafu { status })
    }
}

/// Sends one request to `server` and reads the whole answer.
pub(super) async fn exchange(
    server: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Answer, Failure> {
    let req = build(server, method, path, body)?;
    let connect = timeout(CONNECT_TIMEOUT, connect(server)).await;
    let limit = CONNECT_TIMEOUT;
    let tx = connect.unwrap_or(Err(Failure::ConnectTimeout { limit }))?;
    let answer = timeout(ANSWER_TIMEOUT, send(tx, req)).await;
    let limit = ANSWER_TIMEOUT;
    answer.unwrap_or(Err(Failure::AnswerTimeout { limit }))
}

fn build(
    server: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Failure> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, server)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .context(BuildSnafu)
}

async fn connect(server: &str) -> Result<SendRequest<Full<Bytes>>, Failure> {
    let stream = TcpStream::connect(server).await.context(ConnectSnafu)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (tx, connection) = handshake.context(BrokenSnafu)?;
    // The exchange reports the connection's error to its sender.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(tx)
}

async fn send(
    mut tx: SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<Answer, Failure> {
    let answer = tx.send_request(req).await.context(BrokenSnafu)?;
    let status = answer.status();
    let body = answer.into_body().collect().await.context(BrokenSnafu)?;
    let body = body.to_bytes();
    Ok(Answer { status, body })
}
