//! A target's answer, ready to be passed on.

use cleat_world::StoredAnswer;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};

use crate::answer::{AnswerBody, Chunks, Stream};
use crate::headers::{OUTCOME, Outcome, REPLAYED, remove_for_caller};

const TRUE: HeaderValue = HeaderValue::from_static("true");

/// A target's own answer.
pub(crate) enum Answer {
    /// It is here.
    Whole(Parts, Chunks),
    /// It still comes.
    Streamed(Parts, Box<Stream>),
    /// It was kept with an idempotency key.
    Replayed(StoredAnswer),
}

impl Answer {
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let (parts, body) = match self {
            Answer::Whole(parts, chunks) => (parts, AnswerBody::Whole(chunks)),
            Answer::Streamed(parts, stream) => (parts, AnswerBody::Streamed(stream)),
            Answer::Replayed(stored) => return replay(stored),
        };
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        let headers = response.headers_mut();
        remove_for_caller(headers);
        headers.insert(OUTCOME, Outcome::Answered.value());
        response
    }

    /// What to keep with a key, unless it is larger than `limit` bytes.
    pub(super) fn stored(&self, limit: u64) -> Option<StoredAnswer> {
        let Answer::Whole(parts, chunks) = self else {
            return None;
        };
        if chunks.len() as u64 > limit {
            return None;
        }
        let mut headers = parts.headers.clone();
        remove_for_caller(&mut headers);
        let stored = StoredAnswer {
            status: parts.status.as_u16(),
            headers: lines(&headers),
            body: chunks.concat(),
        };
        Some(stored).filter(|stored| stored.size() as u64 <= limit)
    }
}

fn lines(headers: &HeaderMap) -> Vec<(Box<str>, Box<[u8]>)> {
    let line = |(name, value): (&HeaderName, &HeaderValue)| {
        (Box::from(name.as_str()), Box::from(value.as_bytes()))
    };
    headers.iter().map(line).collect()
}

fn replay(stored: StoredAnswer) -> Response<AnswerBody> {
    let body = if stored.body.is_empty() {
        AnswerBody::empty()
    } else {
        AnswerBody::whole_bytes(stored.body.into())
    };
    let mut response = Response::new(body);
    // Kept from an answer, so each part is valid.
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
    headers.insert(OUTCOME, Outcome::Answered.value());
    response
}
