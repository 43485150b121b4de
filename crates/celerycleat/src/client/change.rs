//! Changing: what became of it must be known before anything else is tried.

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::exchange::exchange;
use super::{Answer, Attempt, Failure, Problem};
use crate::CliError;
use crate::commands::Context;
use crate::documents::Layers;
use crate::error::{NoServerNamedSnafu, NoServerReachedSnafu, OutcomeUnknownSnafu};

/// A change of the configuration.
#[derive(Debug, Serialize)]
pub(crate) struct Change<'a> {
    pub(crate) expect: u64,
    pub(crate) command_id: &'a str,
    pub(crate) config: Value,
}

#[derive(Debug, Deserialize)]
struct Accepted {
    version: u64,
}

#[derive(Debug, Deserialize)]
struct Lost {
    winner: u64,
    winner_command_id: Option<Box<str>>,
}

#[derive(Debug, Deserialize)]
struct Invalid {
    faults: Vec<RemoteFault>,
}

#[derive(Debug, Deserialize)]
struct RemoteFault {
    path: Box<str>,
    message: Box<str>,
}

/// What one server's answer means for the change.
enum Verdict {
    /// In force as this version.
    Accepted(u64),
    /// Decided by the replicated state: final wherever else it was sent.
    Lost(CliError),
    /// This server found it invalid and did not propose it.
    Invalid(CliError),
    /// This server could not propose it; another one may.
    NotProposed(CliError),
    /// This server can't tell.
    Unknown(Failure),
}

/// Sends `change` to the servers in turn, always under its one command id,
/// and returns the accepted version.
///
/// Invariant: once a server may have received it without a final answer, only
/// an answer from the replicated state ends the doubt; a later server that
/// refuses on its own does not.
pub(crate) async fn send_change(
    cx: &Context<'_>,
    change: &Change<'_>,
    layers: &Layers,
) -> Result<u64, CliError> {
    // Plain JSON data always serializes.
    let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
    let mut attempts = Vec::new();
    let mut refusal = None;
    let mut in_doubt = false;
    for server in cx.servers {
        let failure = match send(server, body.clone(), layers).await {
            Verdict::Accepted(version) => return Ok(version),
            Verdict::Lost(error) => return Err(error),
            Verdict::Invalid(error) if !in_doubt => return Err(error),
            Verdict::Invalid(error) | Verdict::NotProposed(error) => {
                refusal = Some(error);
                continue;
            }
            Verdict::Unknown(failure) => failure,
        };
        in_doubt |= !failure.is_unsent();
        let server = server.clone();
        attempts.push(Attempt { server, failure });
    }
    if in_doubt {
        let command_id = change.command_id;
        return OutcomeUnknownSnafu {
            command_id,
            attempts,
        }
        .fail();
    }
    if let Some(refusal) = refusal {
        return Err(refusal);
    }
    if attempts.is_empty() {
        return NoServerNamedSnafu.fail();
    }
    NoServerReachedSnafu { attempts }.fail()
}

async fn send(server: &str, body: Bytes, layers: &Layers) -> Verdict {
    let judged = match exchange(server, Method::PUT, "/config", body).await {
        Ok(answer) => judge(server, &answer, layers),
        Err(failure) => Err(failure),
    };
    judged.unwrap_or_else(Verdict::Unknown)
}

fn judge(server: &str, answer: &Answer, layers: &Layers) -> Result<Verdict, Failure> {
    let verdict = match answer.status {
        StatusCode::OK => Verdict::Accepted(answer.read::<Accepted>()?.version),
        StatusCode::CONFLICT => Verdict::Lost(lost(server, answer.read()?)),
        StatusCode::UNPROCESSABLE_ENTITY => {
            let invalid = answer.read()?;
            Verdict::Invalid(located(&invalid, layers))
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            let problem = Problem::read(answer)?;
            Verdict::NotProposed(problem.into_refusal(server, answer))
        }
        status if status.is_client_error() => {
            let problem = Problem::read(answer)?;
            Verdict::Invalid(problem.into_invalid(server, answer))
        }
        // 504, and whatever else an instance or something before it answers.
        _ => {
            let problem = Problem::read(answer)?;
            Verdict::Unknown(problem.into_failure(answer))
        }
    };
    Ok(verdict)
}

fn lost(server: &str, lost: Lost) -> CliError {
    CliError::Conflict {
        server: server.into(),
        winner: lost.winner,
        winner_command_id: lost.winner_command_id,
    }
}

fn located(invalid: &Invalid, layers: &Layers) -> CliError {
    let faults = invalid.faults.iter();
    let faults = faults.map(|fault| layers.locate(&fault.path, &fault.message));
    CliError::InvalidConfig {
        faults: faults.collect(),
    }
}
