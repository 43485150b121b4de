//! Reading requests.

use http::Request;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde_json::Value;

use super::{Problem, ProblemKind};

/// The largest body taken, in bytes: a configuration of the size planned for
/// is about a tenth of it.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The body as JSON.
pub(crate) async fn read_json(req: Request<Incoming>) -> Result<Value, Problem> {
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes");
            return Err(Problem::new(ProblemKind::BodyTooLarge, detail));
        }
        Err(error) => {
            let detail = format!("the body broke off: {error}");
            return Err(Problem::new(ProblemKind::BadRequest, detail));
        }
    };
    serde_json::from_slice(&body).map_err(|error| {
        let detail = format!("the body is not JSON: {error}");
        Problem::new(ProblemKind::BadRequest, detail)
    })
}
