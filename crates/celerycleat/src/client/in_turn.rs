//! Telling servers to change something, one after the other.

use super::{Attempt, Failure};
use crate::CliError;
use crate::commands::Context;
use crate::error::{NoServerNamedSnafu, NoServerReachedSnafu, OutcomeUnknownSnafu};

/// What one server's answer means for a command.
pub(super) enum Verdict<T> {
    /// Done.
    Done(T),
    /// Decided by the replicated state: final wherever else it was sent.
    Decided(CliError),
    /// This server found it invalid, or the leader refused it, and it was not proposed.
    Invalid(CliError),
    /// This server could not propose it; another one may.
    NotProposed(CliError),
    /// This server can't tell.
    Unknown(Failure),
}

/// Sends a command to the servers in turn, always under its one command id.
///
/// Invariant: once a server may have received it without a final answer, only
/// an answer from the replicated state ends the doubt; a later server that
/// refuses on its own does not.
pub(super) async fn send_in_turn<T>(
    cx: &Context<'_>,
    command_id: &str,
    send: impl AsyncFn(&str) -> Verdict<T>,
) -> Result<T, CliError> {
    let mut attempts = Vec::new();
    let mut refusal = None;
    let mut in_doubt = false;
    for server in cx.servers {
        let failure = match send(server).await {
            Verdict::Done(value) => return Ok(value),
            Verdict::Decided(error) => return Err(error),
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
