//! What the balancer asks.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response};

use super::shared::{Phase, Shared};
use crate::answer::AnswerBody;
use crate::control::Control;
use crate::problem::{Problem, ProblemKind};

/// Paths of the entry's own begin with this; no service can have the name.
pub(super) const PREFIX: &str = "/-/";
const READY: &str = "ready";
const LIVE: &str = "live";
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Answers a request for one of the entry's own paths.
pub(super) fn answer<C: Control>(
    shared: &Shared<C>,
    method: &Method,
    path: &str,
) -> Result<Response<AnswerBody>, Problem> {
    let asked = path.strip_prefix(PREFIX).unwrap_or_default();
    let reads = method == Method::GET || method == Method::HEAD;
    match asked {
        READY if reads && is_ready(shared) => Ok(yes(br#"{"ready":true}"#)),
        READY if reads => Err(Problem::new(ProblemKind::NotInService)),
        LIVE if reads => Ok(yes(br#"{"live":true}"#)),
        _ => Err(Problem::new(ProblemKind::UnknownService)),
    }
}

fn is_ready<C: Control>(shared: &Shared<C>) -> bool {
    shared.phase() == Phase::Running && shared.control.in_service()
}

fn yes(body: &'static [u8]) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole_bytes(Bytes::from_static(body)));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}
