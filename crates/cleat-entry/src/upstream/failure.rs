//! What provably happened to an exchange that brought no whole answer.

use cleat_decide::AttemptOutcome;

/// Why an exchange brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No byte of the request left.
    NotSent,
    /// The connection broke after a byte may have left.
    ConnectionLost,
    /// The deadline came after a byte may have left.
    TimedOut,
    /// What came is no answer of HTTP/1.1.
    Malformed,
    /// The end of the answer was marked by nothing but the connection's end,
    /// so a cut looks the same as a whole answer.
    Unframed,
    /// More bytes came than the answer's framing states.
    TrailingBytes,
}

impl Failure {
    /// The same in the words of the decisions.
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

    /// Reads an error of hyper. `sent` says whether a byte left.
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
