//! Whether an answer is whole and belongs to its request.

use http::HeaderMap;
use http::header::RETRY_AFTER;

use super::report::{NO_OUTCOME, Verdict};
use crate::REQUEST_ID_HEADER;

const OUTCOME_HEADER: &str = "celerycleat-outcome";

/// The outcome that an answer states.
pub(super) fn outcome(headers: &HeaderMap) -> &str {
    let stated = headers.get(OUTCOME_HEADER);
    let text = stated.and_then(|value| value.to_str().ok());
    text.unwrap_or(NO_OUTCOME)
}

/// Judges an answer whose body came whole.
pub(super) fn judge(headers: &HeaderMap, body: &[u8], id: &str, bytes: usize) -> Verdict {
    let good = match outcome(headers) {
        "answered" | NO_OUTCOME => is_own(headers, body, id, bytes),
        "not-run" => headers.contains_key(RETRY_AFTER),
        "unknown" => true,
        _ => false,
    };
    if good {
        Verdict::Whole
    } else {
        Verdict::Faulty
    }
}

fn is_own(headers: &HeaderMap, body: &[u8], id: &str, bytes: usize) -> bool {
    let echoed = headers.get(REQUEST_ID_HEADER);
    let shown = id.len().min(bytes);
    echoed.is_some_and(|echoed| echoed == id)
        && body.len() == bytes
        && body[..shown] == id.as_bytes()[..shown]
}
