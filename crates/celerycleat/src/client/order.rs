//! Commands about one object: moves and waves.

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::Value;

use super::change::{Invalid, RemoteFault};
use super::exchange::exchange;
use super::in_turn::{Verdict, send_in_turn};
use super::{Answer, Failure, Problem};
use crate::CliError;
use crate::commands::Context;

/// Posts `body`, which holds `command_id`, to `path` and returns the answer.
pub(crate) async fn send_order(
    cx: &Context<'_>,
    path: &str,
    command_id: &str,
    body: &Value,
) -> Result<Value, CliError> {
    let body = Bytes::from(body.to_string());
    send_in_turn(cx, command_id, async |server| {
        let judged = match exchange(server, Method::POST, path, body.clone()).await {
            Ok(answer) => judge(server, &answer),
            Err(failure) => Err(failure),
        };
        judged.unwrap_or_else(Verdict::Unknown)
    })
    .await
}

fn judge(server: &str, answer: &Answer) -> Result<Verdict<Value>, Failure> {
    if answer.status == StatusCode::OK {
        return Ok(Verdict::Done(answer.read()?));
    }
    if answer.status == StatusCode::UNPROCESSABLE_ENTITY {
        let invalid = answer.read()?;
        return Ok(Verdict::Invalid(with_faults(server, answer, &invalid)));
    }
    let problem = Problem::read(answer)?;
    Ok(match answer.status {
        StatusCode::CONFLICT | StatusCode::NOT_FOUND if !problem.is_unknown_path() => {
            Verdict::Decided(problem.into_refusal(server, answer))
        }
        // Every server forwards the job to the same leader.
        StatusCode::SERVICE_UNAVAILABLE if problem.is_overloaded() => {
            Verdict::Invalid(problem.into_refusal(server, answer))
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            Verdict::NotProposed(problem.into_refusal(server, answer))
        }
        status if status.is_client_error() => {
            Verdict::Invalid(problem.into_invalid(server, answer))
        }
        _ => Verdict::Unknown(problem.into_failure(answer)),
    })
}

fn with_faults(server: &str, answer: &Answer, invalid: &Invalid) -> CliError {
    let lines = invalid.faults.iter();
    let lines: Vec<_> = lines.map(RemoteFault::to_string).collect();
    CliError::InvalidRequest {
        server: server.into(),
        status: answer.status.as_u16(),
        title: "The command is not valid".into(),
        detail: lines.join("\n  ").into(),
    }
}
