//! Announces a stand-in target and renews its lease.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::sync::watch;

use super::{Phase, TargetOptions};
use crate::error::{JsonSnafu, RefusedSnafu, RequestSnafu};
use crate::{FakeError, fetch};

const RETRY_PAUSE: Duration = Duration::from_millis(200);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// A lease is renewed when this fraction of it has passed.
const RENEW_FRACTION: u32 = 3;

#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: SocketAddr,
    instance: &'a str,
    data_centre: &'a str,
    slots: u64,
    connections: u64,
}

#[derive(Debug, Deserialize)]
struct Granted {
    lease_ms: u64,
}

/// Keeps the target announced until it leaves; then withdraws it.
pub(super) async fn keep_announced(
    options: TargetOptions,
    address: SocketAddr,
    mut phase: watch::Receiver<Phase>,
    announced: watch::Sender<u64>,
    refusal: watch::Sender<Option<Box<str>>>,
) {
    let mut servers = options.announce.iter().copied().cycle();
    let mut server = servers.next();
    loop {
        let Some(current) = server else { return };
        let pause = match announce(current, &options, address).await {
            Ok(lease) => {
                announced.send_modify(|n| *n += 1);
                lease / RENEW_FRACTION
            }
            Err(e) => {
                refusal.send_replace(Some(e.to_string().into()));
                server = servers.next();
                RETRY_PAUSE
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = left(&mut phase) => break,
        }
    }
    for server in &options.announce {
        if withdraw(*server, &options).await.is_ok() {
            break;
        }
    }
}

async fn left(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
}

async fn announce(
    server: SocketAddr,
    options: &TargetOptions,
    address: SocketAddr,
) -> Result<Duration, FakeError> {
    let announcement = Announcement {
        service: &options.service,
        address,
        instance: &options.instance,
        data_centre: &options.data_centre,
        slots: options.slots,
        connections: options.connections,
    };
    let body = serde_json::to_vec(&announcement).context(JsonSnafu { address: server })?;
    let answer = exchange(server, Method::PUT, options, body.into()).await?;
    let granted: Granted =
        serde_json::from_slice(&answer).context(JsonSnafu { address: server })?;
    Ok(Duration::from_millis(granted.lease_ms))
}

async fn withdraw(server: SocketAddr, options: &TargetOptions) -> Result<(), FakeError> {
    exchange(server, Method::DELETE, options, Bytes::new()).await?;
    Ok(())
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    options: &TargetOptions,
    body: Bytes,
) -> Result<Bytes, FakeError> {
    let req = Request::builder()
        .method(method)
        .uri(format!("/targets/{}", options.name))
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .context(RequestSnafu)?;
    let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, fetch(address, req)).await;
    let answer = answer.unwrap_or_else(|_| timed_out(address))?;
    if answer.status().is_success() {
        return Ok(answer.into_body());
    }
    let detail = String::from_utf8_lossy(answer.body());
    RefusedSnafu {
        address,
        status: answer.status().as_u16(),
        detail: &*detail,
    }
    .fail()
}

fn timed_out<T>(address: SocketAddr) -> Result<T, FakeError> {
    let source = std::io::ErrorKind::TimedOut.into();
    Err(FakeError::Connect { address, source })
}
