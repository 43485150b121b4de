//! Reading: any server will do.

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::exchange::exchange;
use super::{Attempt, Failure, Problem};
use crate::commands::Context;
use crate::error::{NoServerNamedSnafu, NoServerReachedSnafu};
use crate::{CliError, Report};

/// What one server answered.
enum Reading {
    Done(Report),
    Refused(CliError),
}

/// Asks the servers in turn until one answers, and shows its answer through
/// `text`. A server that refuses, such as one without a quorum, is remembered
/// while the others are tried.
pub(crate) async fn query<T: DeserializeOwned>(
    cx: &Context<'_>,
    path: &str,
    text: impl Fn(&T) -> Box<str>,
) -> Result<Report, CliError> {
    let mut attempts = Vec::new();
    let mut refusal = None;
    for server in cx.servers {
        match ask(server, path, &text).await {
            Ok(Reading::Done(report)) => return Ok(report),
            Ok(Reading::Refused(error)) => refusal = Some(error),
            Err(failure) => attempts.push(Attempt {
                server: server.clone(),
                failure,
            }),
        }
    }
    if let Some(refusal) = refusal {
        return Err(refusal);
    }
    if attempts.is_empty() {
        return NoServerNamedSnafu.fail();
    }
    NoServerReachedSnafu { attempts }.fail()
}

async fn ask<T: DeserializeOwned>(
    server: &str,
    path: &str,
    text: impl Fn(&T) -> Box<str>,
) -> Result<Reading, Failure> {
    let answer = exchange(server, Method::GET, path, Bytes::new()).await?;
    if !answer.status.is_success() {
        let problem = Problem::read(&answer)?;
        return Ok(Reading::Refused(problem.into_refusal(server, &answer)));
    }
    let json: Value = answer.read()?;
    let typed: T = answer.read()?;
    Ok(Reading::Done(Report::new(json, text(&typed))))
}
