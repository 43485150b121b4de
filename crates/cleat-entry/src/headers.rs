//! The header fields that the entry interprets or removes.

use http::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("celerycleat-outcome");
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("celerycleat-replayed");
pub(crate) const CALLER: HeaderName = HeaderName::from_static("celerycleat-caller");
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("celerycleat-deadline-ms");
pub(crate) const IDEMPOTENT: HeaderName = HeaderName::from_static("celerycleat-idempotent");
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// What a response says about the execution of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The response is the complete response of a target.
    Answered,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    pub(crate) fn header_value(self) -> HeaderValue {
        HeaderValue::from_static(self.name())
    }

    /// Human-readable advice to the caller.
    pub(crate) fn advice(self) -> &'static str {
        match self {
            Outcome::Answered => "The answer is the target's own.",
            Outcome::NotRun => "The request did not run. It may be sent again after Retry-After.",
            Outcome::Unknown => {
                "The request may have run. Send it again only with the same Idempotency-Key, \
                 or if running it twice does no harm."
            }
        }
    }
}

/// Header fields that apply to a single connection (RFC 9110, 7.6.1).
static HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Header fields removed from requests. Targets must not mistake the outcome
/// and replay fields of a caller for fields set by the entry, and `Expect` has
/// no use for a request whose body was already read.
static STRIPPED_FROM_REQUESTS: [HeaderName; 3] = [EXPECT, OUTCOME, REPLAYED];
/// Header fields removed from responses, so that callers don't mistake those of
/// a target for fields set by the entry.
static STRIPPED_FROM_RESPONSES: [HeaderName; 2] = [OUTCOME, REPLAYED];

pub(crate) fn strip_request_headers(headers: &mut HeaderMap) {
    remove_connection_options(headers);
    remove_headers(headers, &HOP_BY_HOP);
    remove_headers(headers, &STRIPPED_FROM_REQUESTS);
}

pub(crate) fn strip_response_headers(headers: &mut HeaderMap) {
    remove_connection_options(headers);
    remove_headers(headers, &HOP_BY_HOP);
    remove_headers(headers, &STRIPPED_FROM_RESPONSES);
}

/// Checks for any match first: most messages contain none of these names, and
/// comparing names is cheaper than hashing them.
fn remove_headers(headers: &mut HeaderMap, names: &[HeaderName]) {
    if !headers.keys().any(|name| names.contains(name)) {
        return;
    }
    for name in names {
        headers.remove(name);
    }
}

fn remove_connection_options(headers: &mut HeaderMap) {
    if !headers.contains_key(CONNECTION) {
        return;
    }
    let lines: Vec<HeaderValue> = headers.get_all(CONNECTION).iter().cloned().collect();
    headers.remove(CONNECTION);
    for line in &lines {
        for name in line.as_bytes().split(|byte| *byte == b',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim_ascii()) {
                headers.remove(name);
            }
        }
    }
}
