//! The client of the platform: JSON over HTTP/1.1.

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

/// The time limit of an exchange, from opening the connection to the end of the
/// response. An exchange that times out is repeated with the same token.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls the platform over HTTP. The address is passed with each call: it is
/// `platform.address` of the fleet's configuration, which is in the replicated state.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpPlatform;

#[derive(Debug, Deserialize)]
struct ResponseBody {
    state: ActionState,
}

impl Platform for HttpPlatform {
    async fn run_action(
        &self,
        at: SocketAddr,
        token: &ActionToken,
        term: u64,
    ) -> Result<ActionState, PlatformError> {
        let exchange = timeout(CALL_TIMEOUT, exchange(at, token, term)).await;
        exchange.unwrap_or_else(|_| {
            let (address, limit) = (at, CALL_TIMEOUT);
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
    // A connection error is also returned to the sender of the request.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let response = tx.send_request(req).await;
    let response = response.context(ExchangeSnafu { address })?;
    let status = response.status();
    ensure!(
        status.is_success(),
        RefusedSnafu {
            address,
            status: status.as_u16()
        }
    );
    let body = response.into_body().collect().await;
    let body = body.context(ExchangeSnafu { address })?.to_bytes();
    let body: ResponseBody = serde_json::from_slice(&body).context(JsonSnafu { address })?;
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
