//! Reads request bodies.

use cleat_http::{BodyError, read_body};
use http::Request;
use hyper::body::Incoming;
use serde_json::Value;

use super::{Problem, ProblemKind};

/// The maximum size of a request body, in bytes. A configuration for the fleet size
/// that the system is designed for takes about a tenth of it.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Reads the request body as JSON.
pub(crate) async fn read_json(req: Request<Incoming>) -> Result<Value, Problem> {
    let body = read_body(req.into_body(), MAX_BODY_BYTES).await;
    let body = body.map_err(|error| {
        let kind = match error {
            BodyError::TooLarge { .. } => ProblemKind::BodyTooLarge,
            BodyError::BrokeOff { .. } => ProblemKind::BadRequest,
        };
        Problem::new(kind, error.to_string())
    })?;
    serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("the body is not JSON: {error}");
        Problem::new(ProblemKind::BadRequest, detail)
    })
}
