//! Reading the bodies of requests.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use snafu::Snafu;

/// Why a body was not read whole.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// It broke off.
    #[snafu(display("the body broke off: {reason}"))]
    BrokeOff {
        /// What the connection says.
        reason: Box<str>,
    },
}

/// The whole body, if it has at most `limit` bytes.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => TooLargeSnafu { limit }.fail(),
        Err(error) => {
            let reason = error.to_string();
            BrokeOffSnafu { reason }.fail()
        }
    }
}
