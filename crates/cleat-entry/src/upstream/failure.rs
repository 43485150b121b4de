//! The reasons for which an exchange has no complete response.

use cleat_decide::AttemptOutcome;

/// Why there is no complete response. Each reason is proven, not presumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The connection was lost after bytes of the request may have been sent.
    ConnectionLost,
    /// The deadline passed after bytes of the request may have been sent.
    TimedOut,
    /// The received bytes are not a valid HTTP/1.1 response.
    Malformed,
    /// The end of the response is only marked by the end of the connection, so
    /// a truncated response looks like a complete one.
    Unframed,
    /// More bytes were received than the framing of the response states.
    TrailingBytes,
}

impl Failure {
    /// The outcome as defined by the decision logic.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match self {
            Failure::NotSent => AttemptOutcome::NotSent,
            Failure::ConnectionLost => AttemptOutcome::ConnectionLost,
            Failure::TimedOut => AttemptOutcome::TimedOut,
            Failure::Malformed | Failure::Unframed | Failure::TrailingBytes => {
                AttemptOutcome::Malformed
            }
        }
    }

    /// Maps an error of hyper. `sent` says whether bytes of the request may
    /// have been sent.
    pub(crate) fn from_hyper(error: &hyper::Error, sent: bool) -> Failure {
        if !sent {
            Failure::NotSent
        } else if error.is_parse() {
            Failure::Malformed
        } else {
            Failure::ConnectionLost
        }
    }
}
