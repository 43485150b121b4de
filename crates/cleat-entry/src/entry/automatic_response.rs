//! Replaces the automatic responses of hyper to unreadable request heads with
//! problem responses.

use std::time::Duration;

use bytes::Bytes;

use crate::problem::{Problem, ProblemKind};

/// Fixed, without jitter: a malformed head stays malformed when it is sent
/// again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_AUTOMATIC_RESPONSE_BYTES: usize = 256;
const HEAD_END: &[u8] = b"\r\n\r\n";
const EMPTY_BODY: &[u8] = b"content-length: 0\r\n";
/// Contained in every response of a handler.
const OUTCOME_HEADER: &[u8] = b"celerycleat-outcome";

/// The problem response to write instead of `written`, if `written` is an
/// automatic response of hyper: a single complete head without a body and
/// without an outcome.
///
/// hyper offers no hook for these responses. This must only be called while no
/// response of a handler is being written, so that the bytes of a target's
/// response are never inspected.
pub(super) fn replacement(written: &[u8]) -> Option<Bytes> {
    let is_complete_head =
        written.len() <= MAX_AUTOMATIC_RESPONSE_BYTES && written.ends_with(HEAD_END);
    if !is_complete_head || !contains(written, EMPTY_BODY) || contains(written, OUTCOME_HEADER) {
        return None;
    }
    let status = written.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    let kind = match status {
        b"400" => ProblemKind::MalformedRequest,
        b"414" => ProblemKind::UriTooLong,
        b"431" => ProblemKind::HeadersTooLarge,
        _ => return None,
    };
    Some(Problem::closing(kind).to_bytes(RETRY_AFTER))
}

fn contains(bytes: &[u8], pattern: &[u8]) -> bool {
    bytes.windows(pattern.len()).any(|window| window == pattern)
}
