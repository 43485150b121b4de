//! Reads the complete body of a request, so that it can be sent more than once.

use std::sync::Arc;

use bytes::Bytes;
use cleat_http::{BodyError, RequestBody};
use tokio::time::{Instant, timeout_at};

use crate::problem::{Problem, ProblemKind};
use crate::response::MemoryBudget;

/// Reads at most `limit` bytes until `deadline`.
///
/// # Errors
/// The body is too large, malformed, truncated or late, or the memory budget is
/// exhausted. The rest of the body is not read, so the connection must be
/// closed.
pub(crate) async fn read_body(
    body: RequestBody,
    limit: u64,
    memory: &Arc<MemoryBudget>,
    deadline: Instant,
) -> Result<Bytes, Problem> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let read = timeout_at(deadline, cleat_http::read_body(body, limit)).await;
    let read = read.unwrap_or(Err(BodyError::TooSlow));
    let body = read.map_err(|error| Problem::closing(problem_kind(&error)))?;
    if body.is_empty() {
        return Ok(Bytes::new());
    }
    let reservation = memory.reserve(body.len());
    let reservation = reservation.ok_or(Problem::closing(ProblemKind::MemoryFull))?;
    // One handle for the whole body, however many chunks it came in: dropping nested ones
    // takes a stack frame each.
    Ok(reservation.attach_to(body.into_bytes()))
}

fn problem_kind(error: &BodyError) -> ProblemKind {
    match error {
        BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        BodyError::BrokeOff { .. } => ProblemKind::BadBody,
        BodyError::TooSlow => ProblemKind::CannotFinishInTime,
        BodyError::NoMemory { .. } => ProblemKind::MemoryFull,
    }
}
