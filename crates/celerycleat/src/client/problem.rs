//! A server's error, `application/problem+json` (RFC 9457).

use serde::Deserialize;

use super::{Answer, Failure};
use crate::CliError;

/// A server's error.
#[derive(Debug, Deserialize)]
pub(crate) struct Problem {
    title: Box<str>,
    #[serde(default)]
    detail: Box<str>,
}

impl Problem {
    /// Reads the problem that `answer` states.
    pub(crate) fn read(answer: &Answer) -> Result<Problem, Failure> {
        answer.read()
    }

    /// It leaves open what became of the request.
    pub(super) fn into_failure(self, answer: &Answer) -> Failure {
        Failure::Problem {
            status: answer.status.as_u16(),
            title: self.title,
            detail: self.detail,
        }
    }

    /// The server refused, and nothing was changed.
    pub(super) fn into_refusal(self, server: &str, answer: &Answer) -> CliError {
        CliError::Refused {
            server: server.into(),
            status: answer.status.as_u16(),
            title: self.title,
            detail: self.detail,
        }
    }

    /// The server found the request itself invalid.
    pub(super) fn into_invalid(self, server: &str, answer: &Answer) -> CliError {
        CliError::InvalidRequest {
            server: server.into(),
            status: answer.status.as_u16(),
            title: self.title,
            detail: self.detail,
        }
    }
}
