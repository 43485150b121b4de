//! The platform's HTTP/1.1 interface.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::Shared;
use super::state::EffectKind;

#[derive(Debug, Deserialize)]
struct Order {
    token: Box<str>,
    term: u64,
}

/// The answer is lost on the way: the connection breaks.
#[derive(Debug)]
struct AnswerLost;

impl fmt::Display for AnswerLost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer is lost")
    }
}

impl std::error::Error for AnswerLost {}

type Answer = Response<Full<Bytes>>;

/// Serves until the task is aborted, which breaks the connections.
pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let shared = Arc::clone(&shared);
                let service = service_fn(move |req| answer(Arc::clone(&shared), req));
                connections.spawn(async move {
                    let stream = TokioIo::new(stream);
                    let _ = http1::Builder::new().serve_connection(stream, service).await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Answer, AnswerLost> {
    let path = req.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match (req.method(), &segments[..]) {
        (&Method::GET, ["effects"]) => {
            let effects = shared.state().effects();
            Ok(json_answer(StatusCode::OK, &json!({"effects": effects})))
        }
        (&Method::PUT, ["instances", name, "drain"]) => {
            act(&shared, EffectKind::Drain, name, req).await
        }
        (&Method::PUT, ["instances", name, "reboot"]) => {
            act(&shared, EffectKind::Reboot, name, req).await
        }
        _ => Ok(json_answer(StatusCode::NOT_FOUND, &json!({}))),
    }
}

async fn act(
    shared: &Shared,
    kind: EffectKind,
    instance: &str,
    req: Request<Incoming>,
) -> Result<Answer, AnswerLost> {
    let body = req.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return Ok(json_answer(StatusCode::BAD_REQUEST, &json!({})));
    };
    let mut state = shared.state();
    let progress = state.act(kind, instance, &order.token, order.term);
    if state.loses_answer() {
        return Err(AnswerLost);
    }
    Ok(match progress {
        Ok(progress) => json_answer(StatusCode::OK, &json!({"state": progress})),
        Err(_) => json_answer(StatusCode::CONFLICT, &json!({"reason": "stale-term"})),
    })
}

fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
}
