//! Receives the response of a target, up to the memory limits.

use std::future::poll_fn;
use std::sync::Arc;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body::Body;
use hyper::body::Incoming;

use super::{Chunks, MemoryBudget};
use crate::upstream::{Failure, Upstream};

/// How much of a response was received.
pub(crate) enum Received {
    /// All of it, as proven by its framing.
    Complete(Parts, Chunks),
    /// Its beginning. It is too large to buffer.
    Partial(Parts, Chunks, Incoming),
}

/// Reads the body of `response` until it is complete, exceeds `limit` bytes or
/// exceeds the memory budget.
///
/// # Errors
/// The proven cause, if there is no complete response.
pub(crate) async fn receive(
    upstream: &mut Upstream,
    method: &Method,
    response: Response<Incoming>,
    limit: u64,
    memory: &Arc<MemoryBudget>,
) -> Result<Received, Failure> {
    let (parts, mut body) = response.into_parts();
    check_framing(method, parts.status, &parts.headers)?;
    let mut chunks = Chunks::default();
    if body.size_hint().lower() > limit {
        return Ok(Received::Partial(parts, chunks, body));
    }
    while let Some(frame) = poll_fn(|cx| upstream.poll_frame(&mut body, cx)).await {
        // Trailers may be discarded (RFC 9110, 6.5).
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let Some(reservation) = memory.reserve(data.len()) else {
            chunks.push(data);
            return Ok(Received::Partial(parts, chunks, body));
        };
        chunks.push(reservation.attach_to(data));
        if chunks.len() as u64 > limit {
            return Ok(Received::Partial(parts, chunks, body));
        }
    }
    upstream.check_trailing_bytes()?;
    Ok(Received::Complete(parts, chunks))
}

/// Checks that the end of the response can be distinguished from a lost
/// connection.
fn check_framing(method: &Method, status: StatusCode, headers: &HeaderMap) -> Result<(), Failure> {
    if status == StatusCode::SWITCHING_PROTOCOLS {
        // `Upgrade` fields are not forwarded, so the caller did not request
        // this.
        return Err(Failure::Malformed);
    }
    let has_no_body = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let has_transfer_encoding = headers.contains_key(TRANSFER_ENCODING);
    if has_length && has_transfer_encoding {
        return Err(Failure::Malformed);
    }
    if has_no_body || has_length || is_chunked(headers) {
        return Ok(());
    }
    Err(Failure::Unframed)
}

/// Whether `chunked` is the last transfer coding, so that the end of the body
/// is marked.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let Some(codings) = last.map(|line| line.as_bytes()) else {
        return false;
    };
    let coding = codings.rsplit(|byte| *byte == b',').next();
    coding.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
