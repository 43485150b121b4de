//! The platform over HTTP/1.1 with JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::json;
use snafu::{ResultExt, ensure};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::types::{
    ConnectSnafu, ExchangeSnafu, JsonSnafu, RefusedSnafu, RequestSnafu, TimeoutSnafu,
};
use super::{Action, ActionState, ActionToken, Platform, PlatformError};

/// How long one exchange may take.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The platform at the address that the configuration names.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpPlatform;

#[derive(Debug, Deserialize)]
struct ReportBody {
    state: ActionState,
}

impl Platform for HttpPlatform {
    async fn run_action(
        &self,
        at: SocketAddr,
        token: &ActionToken,
        term: u64,
    ) -> Result<ActionState, PlatformError> {
        let exchange = timeout(CALL_LIMIT, exchange(at, token, term)).await;
        exchange.unwrap_or_else(|_| {
            let (address, limit) = (at, CALL_LIMIT);
            TimeoutSnafu { address, limit }.fail()
        })
    }
}

async fn exchange(
    address: SocketAddr,
    token: &ActionToken,
    term: u64,
) -> Result<ActionState, PlatformError> {
    let req = request(address, token, term).context(RequestSnafu)?;
    let stream = TcpStream::connect(address).await;
    let stream = stream.context(ConnectSnafu { address })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut tx, connection) = handshake.context(ExchangeSnafu { address })?;
    // The exchange reports the connection's error to its sender.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let answer = tx.send_request(req).await;
    let answer = answer.context(ExchangeSnafu { address })?;
    let status = answer.status();
    ensure!(
        status.is_success(),
        RefusedSnafu {
            address,
            status: status.as_u16()
        }
    );
    let body = answer.into_body().collect().await;
    let body = body.context(ExchangeSnafu { address })?.to_bytes();
    let body: ReportBody = serde_json::from_slice(&body).context(JsonSnafu { address })?;
    Ok(body.state)
}

fn request(
    address: SocketAddr,
    token: &ActionToken,
    term: u64,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let action = match token.action {
        Action::Drain => "drain",
        Action::Reboot => "reboot",
    };
    let body = json!({"token": token.to_string(), "term": term});
    Request::builder()
        .method(Method::PUT)
        .uri(format!("/instances/{}/{action}", token.instance))
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
}
