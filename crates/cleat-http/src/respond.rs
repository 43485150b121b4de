//! Answers.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
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
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    answer.headers_mut().insert(CONTENT_TYPE, media_type);
    answer
}

/// A text with `status`.
pub fn text(status: StatusCode, text: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    let media_type = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(CONTENT_TYPE, media_type);
    answer
}

/// An empty answer with `status`.
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
