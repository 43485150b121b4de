//! Answers one request of a stand-in target.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::Shared;
use super::behaviour::Behaviour;
use super::counters::RequestGuard;
use super::fault::{self, BrokenConnection};
use super::stream::SharedStream;
use crate::FakeError;

/// The header by which a request and its answer are matched; echoed.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("request-id");
/// The header of an answer that names the target.
pub const NAME_HEADER: HeaderName = HeaderName::from_static("target-name");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Answers with the target's counts and is not counted itself.
const COUNTS_PATH: &str = "/-/counts";
const FILLER: u8 = b'.';

pub(super) async fn answer(
    shared: Arc<Shared>,
    stream: SharedStream,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, BrokenConnection> {
    if req.uri().path() == COUNTS_PATH {
        return Ok(counts(&shared));
    }
    let id = request_id(req.headers());
    let recorded = id.as_ref().filter(|_| shared.options.record_runs);
    let guard = shared.counters.begin_request(recorded.map(text));
    let behaviour = match behaviour(&shared, req.uri().query()) {
        Ok(behaviour) => behaviour,
        Err(e) => return Ok(bad_request(&e.to_string())),
    };
    let received = req.into_body().collect().await;
    let received = received.map_err(|_| BrokenConnection)?.to_bytes();
    let guard = work(&behaviour, guard).await?;
    let body = match behaviour.bytes {
        Some(bytes) => filled(id.as_ref().map_or("", text), bytes),
        None => received,
    };
    if let Some(fault) = behaviour.fault {
        return Err(fault::carry_out(fault, &stream, id.as_ref().map(text), &body).await);
    }
    let mut answer = Response::new(AnswerBody::new(body, Some(guard)));
    *answer.status_mut() = behaviour.status.unwrap_or(StatusCode::OK);
    let headers = answer.headers_mut();
    headers.insert(NAME_HEADER, shared.name_header.clone());
    if let Some(id) = id {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    Ok(answer)
}

fn behaviour(shared: &Shared, query: Option<&str>) -> Result<Behaviour, FakeError> {
    let behaviour = Behaviour::clone(&shared.behaviour.load());
    behaviour.with_query(query.unwrap_or_default())
}

/// Does the work, and gives the guard back that was held through it.
async fn work(
    behaviour: &Behaviour,
    guard: RequestGuard,
) -> Result<RequestGuard, BrokenConnection> {
    let duration = behaviour.sleep;
    // Even a sleep of zero waits for the timer's next millisecond.
    if duration.is_zero() {
        return Ok(guard);
    }
    let work = async move {
        tokio::time::sleep(duration).await;
        guard
    };
    if !behaviour.detached {
        return Ok(work.await);
    }
    // A task of its own goes on when hyper drops the request.
    tokio::spawn(work).await.map_err(|_| BrokenConnection)
}

fn request_id(headers: &HeaderMap) -> Option<HeaderValue> {
    let own = headers.get(REQUEST_ID_HEADER);
    own.or_else(|| headers.get(IDEMPOTENCY_KEY)).cloned()
}

fn text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or_default()
}

/// A body of `bytes` bytes that begins with the request's id, so that an
/// answer to another request shows.
fn filled(id: &str, bytes: usize) -> Bytes {
    let mut body = Vec::with_capacity(bytes.max(id.len()));
    body.extend_from_slice(id.as_bytes());
    body.resize(bytes, FILLER);
    body.into()
}

fn counts(shared: &Shared) -> Response<AnswerBody> {
    let counts = shared.counters.counts();
    let text = serde_json::to_vec(&counts).unwrap_or_default();
    let mut answer = Response::new(AnswerBody::new(text.into(), None));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

fn bad_request(text: &str) -> Response<AnswerBody> {
    let body = Bytes::copy_from_slice(text.as_bytes());
    let mut answer = Response::new(AnswerBody::new(body, None));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

/// A body in one frame that ends its request's count when it is taken.
pub(super) struct AnswerBody {
    data: Option<Bytes>,
    /// Dropped before the last byte leaves, so that the count of requests in
    /// progress is never higher than what the other side may know.
    guard: Option<RequestGuard>,
}

impl AnswerBody {
    fn new(data: Bytes, guard: Option<RequestGuard>) -> AnswerBody {
        let data = Some(data).filter(|data| !data.is_empty());
        let guard = guard.filter(|_| data.is_some());
        AnswerBody { data, guard }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.guard = None;
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}
