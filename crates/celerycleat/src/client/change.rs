//! Changing: what became of it must be known before anything else is tried.

use std::fmt;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::exchange::exchange;
use super::in_turn::{Verdict, send_in_turn};
use super::{Answer, Failure, Problem};
use crate::CliError;
use crate::commands::Context;
use crate::documents::Layers;

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
pub(super) struct Invalid {
    pub(super) faults: Vec<RemoteFault>,
}

#[derive(Debug, Deserialize)]
pub(super) struct RemoteFault {
    path: Box<str>,
    message: Box<str>,
}

impl fmt::Display for RemoteFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.path, self.message)
    }
}

/// Sends `change` to the servers in turn and returns the accepted version.
pub(crate) async fn send_change(
    cx: &Context<'_>,
    change: &Change<'_>,
    layers: &Layers,
) -> Result<u64, CliError> {
    // Plain JSON data always serializes.
    let body = Bytes::from(serde_json::to_vec(change).unwrap_or_default());
    send_in_turn(cx, change.command_id, async |server| {
        send(server, body.clone(), layers).await
    })
    .await
}

async fn send(server: &str, body: Bytes, layers: &Layers) -> Verdict<u64> {
    let judged = match exchange(server, Method::PUT, "/config", body).await {
        Ok(answer) => judge(server, &answer, layers),
        Err(failure) => Err(failure),
    };
    judged.unwrap_or_else(Verdict::Unknown)
}

fn judge(server: &str, answer: &Answer, layers: &Layers) -> Result<Verdict<u64>, Failure> {
    let verdict = match answer.status {
        StatusCode::OK => Verdict::Done(answer.read::<Accepted>()?.version),
        StatusCode::CONFLICT => Verdict::Decided(lost(server, answer.read()?)),
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
