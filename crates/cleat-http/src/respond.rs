//! Answers.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

/// A whole answer.
pub type Answer = Response<Full<Bytes>>;

/// `value` as JSON with `status`.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    json_with_media_type(status, "application/json", value)
}

/// `value` as JSON under another media type.
pub fn json_with_media_type<T: Serialize>(
    status: StatusCode,
    media_type: &'static str,
    value: &T,
) -> Answer {
    // Our own plain data always serializes.
    let body = serde_json::to_vec(value).unwrap_or_default();
    bytes(status, media_type, body.into())
}

/// `body` with `status`.
pub fn bytes(status: StatusCode, media_type: &'static str, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    answer.headers_mut().insert(CONTENT_TYPE, media_type);
    answer
}

/// A text with `status`.
pub fn text(status: StatusCode, text: String) -> Answer {
    bytes(status, "text/plain; charset=utf-8", text.into())
}

/// An empty answer with `status`.
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// What a request is told for which there is no room: it had no effect, and may come again
/// after a second.
pub fn unavailable(reason: &str) -> Answer {
    let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, reason.into());
    let second = HeaderValue::from_static("1");
    answer.headers_mut().insert(RETRY_AFTER, second);
    answer
}
