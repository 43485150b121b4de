//! Health checks for load balancers.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Response};

use super::shared::{Phase, SharedState};
use crate::control::Control;
use crate::problem::{Problem, ProblemKind};
use crate::response::ResponseBody;

/// The prefix of the entry's own paths. No service can have this name.
pub(super) const PREFIX: &str = "/-/";
const READY: &str = "ready";
const LIVE: &str = "live";
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Handles a request for one of the entry's own paths.
pub(super) fn respond<C: Control>(
    shared: &SharedState<C>,
    method: &Method,
    path: &str,
) -> Result<Response<ResponseBody>, Problem> {
    let endpoint = path.strip_prefix(PREFIX).unwrap_or_default();
    let reads = method == Method::GET || method == Method::HEAD;
    match endpoint {
        READY if reads && is_ready(shared) => Ok(ok_json(br#"{"ready":true}"#)),
        READY if reads => Err(Problem::new(ProblemKind::NotInService)),
        LIVE if reads => Ok(ok_json(br#"{"live":true}"#)),
        _ => Err(Problem::new(ProblemKind::UnknownService)),
    }
}

fn is_ready<C: Control>(shared: &SharedState<C>) -> bool {
    shared.phase() == Phase::Running && shared.control.in_service()
}

fn ok_json(body: &'static [u8]) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(Bytes::from_static(body)));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}
