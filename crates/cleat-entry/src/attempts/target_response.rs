//! Responses of targets, ready to be forwarded.

use cleat_world::StoredAnswer;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

use crate::headers::{OUTCOME, Outcome, REPLAYED, strip_response_headers};
use crate::response::{Chunks, ResponseBody, StreamedBody};

const TRUE: HeaderValue = HeaderValue::from_static("true");

/// The response of a target.
pub(crate) enum TargetResponse {
    /// It was received completely.
    Complete(Parts, Chunks),
    /// Part of it is yet to be received.
    Streamed(Parts, Box<StreamedBody>),
    /// It was stored with an idempotency key.
    Replayed(StoredAnswer),
}

impl TargetResponse {
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let (parts, body) = match self {
            TargetResponse::Complete(parts, chunks) => (parts, ResponseBody::Buffered(chunks)),
            TargetResponse::Streamed(parts, stream) => (parts, ResponseBody::Streamed(stream)),
            TargetResponse::Replayed(stored) => return replayed_response(stored),
        };
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        let headers = response.headers_mut();
        strip_response_headers(headers);
        headers.insert(OUTCOME, Outcome::Answered.header_value());
        response
    }

    /// The response to store with an idempotency key. `None` if it is larger than
    /// `limit` bytes, or if it is streamed or replayed.
    pub(super) fn stored(&self, limit: u64) -> Option<StoredAnswer> {
        let TargetResponse::Complete(parts, chunks) = self else {
            return None;
        };
        if chunks.len() as u64 > limit {
            return None;
        }
        let mut headers = parts.headers.clone();
        strip_response_headers(&mut headers);
        let stored = StoredAnswer {
            status: parts.status.as_u16(),
            headers: header_lines(&headers),
            body: chunks.concat(),
        };
        Some(stored).filter(|stored| stored.size() as u64 <= limit)
    }
}

fn header_lines(headers: &HeaderMap) -> Vec<(Box<str>, Box<[u8]>)> {
    let line = |(name, value): (&HeaderName, &HeaderValue)| {
        (Box::from(name.as_str()), Box::from(value.as_bytes()))
    };
    headers.iter().map(line).collect()
}

fn replayed_response(stored: StoredAnswer) -> Response<ResponseBody> {
    let body = if stored.body.is_empty() {
        ResponseBody::empty()
    } else {
        ResponseBody::from_bytes(stored.body.into())
    };
    let mut response = Response::new(body);
    // All parts were taken from a response, so they are valid.
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or_default();
    let headers = response.headers_mut();
    for (name, value) in stored.headers {
        let name = HeaderName::try_from(&*name);
        let value = HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers.insert(REPLAYED, TRUE);
    headers.insert(OUTCOME, Outcome::Answered.header_value());
    response
}
