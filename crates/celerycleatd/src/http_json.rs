//! One JSON request over a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Sends `body` and says whether it was accepted (any 2xx).
pub(crate) async fn send(address: SocketAddr, method: Method, path: &str, body: &Value) -> bool {
    try_send(address, method, path, body).await.unwrap_or(false)
}

async fn try_send(address: SocketAddr, method: Method, path: &str, body: &Value) -> Option<bool> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut tx, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let answer = tx.send_request(req).await.ok()?;
    Some(answer.status().is_success())
}
