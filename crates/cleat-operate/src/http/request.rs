//! Reads request bodies.

use cleat_http::{BodyError, RequestBody, read_body};
use http::Request;
use serde_json::Value;

use super::{Problem, ProblemKind};

/// The maximum size of a request body, in bytes. A configuration for the fleet size
/// that the system is designed for takes about a tenth of it.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The memory of a decoded JSON value, in bytes, with its key.
const VALUE_BYTES: usize = 96;
/// After how many seconds a request comes again for which there was no memory.
const RETRY_AFTER_S: u64 = 1;

/// Reads the request body as JSON.
pub(crate) async fn read_json(req: Request<RequestBody>) -> Result<Value, Problem> {
    let body = read_body(req.into_body(), MAX_BODY_BYTES).await;
    let mut body = body.map_err(|error| problem_of(&error))?;
    let decoded = VALUE_BYTES * values(&body);
    // Small bodies become large values.
    let held = body.hold_decoded(decoded).await;
    held.map_err(|full| problem_of(&full.into()))?;
    serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("the body is not JSON: {error}");
        Problem::new(ProblemKind::BadRequest, detail)
    })
}

fn problem_of(error: &BodyError) -> Problem {
    let kind = match error {
        BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        BodyError::BrokeOff { .. } | BodyError::TooSlow => ProblemKind::BadRequest,
        BodyError::NoMemory { .. } => ProblemKind::Overloaded,
    };
    let problem = Problem::new(kind, error.to_string());
    match kind {
        ProblemKind::Overloaded => problem.with_retry_after(RETRY_AFTER_S),
        _ => problem,
    }
}

/// The number of values in a JSON text, or more.
fn values(body: &[u8]) -> usize {
    let begins = body
        .iter()
        .filter(|byte| matches!(byte, b',' | b'[' | b'{'));
    1 + begins.count()
}
