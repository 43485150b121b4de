//! What became of a request at a server that gave no usable answer.

use std::time::Duration;

use http::StatusCode;
use snafu::Snafu;

/// One server that was tried.
#[derive(Debug)]
pub struct Attempt {
    /// Its address as the operator wrote it.
    pub server: Box<str>,
    /// Why there is no answer.
    pub failure: Failure,
}

/// Why a server gave no usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Failure {
    /// Nothing listens there, or the name does not resolve. Check the address.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// What the system answered.
        source: std::io::Error,
    },
    /// It took too long to connect. Check the address and the network.
    #[snafu(display("no connection within {} s", limit.as_secs()))]
    ConnectTimeout {
        /// How long was waited.
        limit: Duration,
    },
    /// The request can't be written. Check that the address is HOST:PORT.
    #[snafu(display("cannot build the request: {source}"))]
    Build {
        /// What is wrong with it.
        source: http::Error,
    },
    /// The connection broke after the request may have been received.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What hyper reports.
        source: hyper::Error,
    },
    /// No answer came in time, though the request may have been received.
    #[snafu(display("no answer within {} s", limit.as_secs()))]
    AnswerTimeout {
        /// How long was waited.
        limit: Duration,
    },
    /// The answer is not the JSON that belongs to it. Check that the address
    /// is the one for operators, and that the versions agree.
    #[snafu(display("its answer ({status}) is not understood: {source}"))]
    Form {
        /// The status of the answer.
        status: StatusCode,
        /// What is wrong with its body.
        source: serde_json::Error,
    },
    /// The server answered with a problem that leaves the matter open.
    #[snafu(display("{status} {title}: {detail}"))]
    Problem {
        /// The status of the answer.
        status: u16,
        /// The kind of problem.
        title: Box<str>,
        /// What is particular to this case.
        detail: Box<str>,
    },
}

impl Failure {
    /// Whether the server provably did not receive the request.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Failure::Connect { .. } | Failure::ConnectTimeout { .. } | Failure::Build { .. }
        )
    }
}

/// One line for each attempt.
pub(crate) fn list_attempts(attempts: &[Attempt]) -> String {
    let line = |attempt: &Attempt| format!("  {}: {}\n", attempt.server, attempt.failure);
    attempts.iter().map(line).collect()
}
