//! One problem response.

use std::time::Duration;

use bytes::Bytes;
use cleat_decide::Refusal;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use serde::Serialize;

use super::ProblemKind;
use crate::headers::{OUTCOME, Outcome};
use crate::response::ResponseBody;

const MEDIA_TYPE: &str = "application/problem+json";
const CLOSE: HeaderValue = HeaderValue::from_static("close");
const TYPE_PREFIX: &str = "urn:celerycleat:problem:";

/// The problem response to one request.
#[derive(Debug, Clone)]
pub(crate) struct Problem {
    pub(crate) kind: ProblemKind,
    /// When the caller may retry, if that was computed.
    retry_after: Option<Duration>,
    /// Whether the connection to the caller must be closed.
    closes: bool,
}

#[derive(Serialize)]
struct Details<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
}

impl Problem {
    pub(crate) fn new(kind: ProblemKind) -> Problem {
        Problem {
            kind,
            retry_after: None,
            closes: false,
        }
    }

    pub(crate) fn retry_after(kind: ProblemKind, retry_after: Duration) -> Problem {
        Problem {
            retry_after: Some(retry_after),
            ..Problem::new(kind)
        }
    }

    /// A problem after which the remaining bytes of the caller can't be parsed
    /// as requests.
    pub(crate) fn closing(kind: ProblemKind) -> Problem {
        Problem {
            closes: true,
            ..Problem::new(kind)
        }
    }

    /// Replaces the kind, and drops the `Retry-After` time of the previous kind.
    pub(crate) fn with_kind(self, kind: ProblemKind) -> Problem {
        Problem {
            kind,
            retry_after: None,
            ..self
        }
    }

    /// Converts the problem to a response. `default_retry_after` is used if no
    /// time was computed.
    pub(crate) fn into_response(self, default_retry_after: Duration) -> Response<ResponseBody> {
        let outcome = self.kind.outcome();
        let mut response = Response::new(ResponseBody::from_bytes(self.body(outcome)));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
        headers.insert(OUTCOME, outcome.header_value());
        if self.kind.has_retry_after() {
            headers.insert(
                RETRY_AFTER,
                HeaderValue::from(self.retry_seconds(default_retry_after)),
            );
        }
        if self.closes {
            headers.insert(CONNECTION, CLOSE);
        }
        response
    }

    /// Serializes the complete response, for a request that hyper rejected before it
    /// was passed to a handler.
    pub(crate) fn to_bytes(&self, default_retry_after: Duration) -> Bytes {
        let status = self.kind.status();
        let outcome = self.kind.outcome();
        let body = self.body(outcome);
        let mut text = format!("HTTP/1.1 {status}\r\n");
        let mut line = |name: &str, value: &str| {
            text.push_str(name);
            text.push_str(": ");
            text.push_str(value);
            text.push_str("\r\n");
        };
        line(CONNECTION.as_str(), "close");
        line(CONTENT_TYPE.as_str(), MEDIA_TYPE);
        line(OUTCOME.as_str(), outcome.name());
        line(
            RETRY_AFTER.as_str(),
            &self.retry_seconds(default_retry_after).to_string(),
        );
        line(CONTENT_LENGTH.as_str(), &body.len().to_string());
        text.push_str("\r\n");
        let mut bytes = Vec::from(text);
        bytes.extend_from_slice(&body);
        bytes.into()
    }

    /// `Retry-After` has a resolution of one second. Rounded up, so that it is
    /// never earlier than computed, and never zero.
    fn retry_seconds(&self, default_retry_after: Duration) -> u64 {
        let wait = self.retry_after.unwrap_or(default_retry_after);
        let up = u64::from(wait.subsec_nanos() > 0);
        (wait.as_secs() + up).max(1)
    }

    fn body(&self, outcome: Outcome) -> Bytes {
        let type_uri = format!("{TYPE_PREFIX}{}", self.kind.slug());
        let details = Details {
            r#type: &type_uri,
            title: self.kind.title(),
            status: self.kind.status().as_u16(),
            detail: outcome.advice(),
        };
        serde_json::to_vec(&details).unwrap_or_default().into()
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Problem::retry_after(refusal.reason.into(), refusal.retry_after)
    }
}
