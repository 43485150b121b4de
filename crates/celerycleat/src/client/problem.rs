//! A server's error, `application/problem+json` (RFC 9457).

use serde::Deserialize;

use super::{Answer, Failure};
use crate::CliError;

/// The type of the problem of a path that a server does not know.
const UNKNOWN_PATH: &str = "urn:celerycleat:problem:not-found";
/// The type of the problem of a job that the leader refused for lack of capacity.
const OVERLOADED: &str = "urn:celerycleat:problem:overloaded";

/// A server's error.
#[derive(Debug, Deserialize)]
pub(crate) struct Problem {
    #[serde(default)]
    r#type: Box<str>,
    title: Box<str>,
    #[serde(default)]
    detail: Box<str>,
}

impl Problem {
    /// Reads the problem that `answer` states.
    pub(crate) fn read(answer: &Answer) -> Result<Problem, Failure> {
        answer.read()
    }

    /// Whether the server knows no such path; says nothing of the objects.
    pub(super) fn is_unknown_path(&self) -> bool {
        &*self.r#type == UNKNOWN_PATH
    }

    /// Whether the leader refused a job for lack of capacity.
    pub(super) fn is_overloaded(&self) -> bool {
        &*self.r#type == OVERLOADED
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
