//! hyper's own answers to heads that it can't read, made into ours.

use std::time::Duration;

use bytes::Bytes;

use crate::problem::{Problem, ProblemKind};

/// A malformed head stays malformed; there is nothing to spread.
const RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_AUTOMATIC_RESPONSE_BYTES: usize = 256;
const HEAD_END: &[u8] = b"\r\n\r\n";
const EMPTY_BODY: &[u8] = b"content-length: 0\r\n";
/// Every answer that a handler gave carries it.
const OUTCOME_HEADER: &[u8] = b"celerycleat-outcome";

/// The answer to write in place of `written`, if that is an automatic answer
/// of hyper: one whole head without a body and without an outcome.
///
/// hyper offers no hook for these. Only asked while no answer of a handler is
/// under way, so the bytes of a target's answer are never looked at.
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
