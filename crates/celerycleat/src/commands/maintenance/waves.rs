//! What the commands about waves share.

use std::fmt;

use serde::Deserialize;
use serde_json::{Value, json};

use super::super::Context;
use crate::client::{query, send_order};
use crate::{CliError, Report};

/// The answer to `GET /maintenance`.
#[derive(Debug, Deserialize)]
pub(super) struct Waves {
    pub(super) waves: Vec<Wave>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Wave {
    pub(super) pool: Box<str>,
    pub(super) state: WaveState,
    pub(super) waiting_for: Option<Value>,
    pub(super) instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Instance {
    pub(super) name: Box<str>,
    pub(super) step: Box<str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum WaveState {
    Running,
    Paused,
    Ended,
}

impl fmt::Display for WaveState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WaveState::Running => "running",
            WaveState::Paused => "paused",
            WaveState::Ended => "ended",
        })
    }
}

/// Sends one command about the wave of `pool`.
pub(super) async fn order(
    cx: &Context<'_>,
    pool: &str,
    word: &str,
    command_id: &str,
) -> Result<Value, CliError> {
    let path = format!("/maintenance/{pool}/{word}");
    let body = json!({"command_id": command_id});
    send_order(cx, &path, command_id, &body).await
}

/// Sends the command about the wave of `pool`, or else about every wave that
/// is in `state`, each under an id made of `command_id` and the pool.
pub(super) async fn order_each(
    cx: &Context<'_>,
    pool: Option<&str>,
    word: &str,
    state: WaveState,
    command_id: &str,
) -> Result<Report, CliError> {
    if let Some(pool) = pool {
        let json = order(cx, pool, word, command_id).await?;
        let text = format!("{pool}: {word}d (command {command_id})");
        return Ok(Report::new(json, text));
    }
    let mut answers = Vec::new();
    let mut text = String::new();
    for pool in pools_in(cx, state).await? {
        let id = format!("{command_id}-{pool}");
        answers.push(order(cx, &pool, word, &id).await?);
        text.push_str(&format!("{pool}: {word}d (command {id})\n"));
    }
    if answers.is_empty() {
        text.push_str("no such wave\n");
    }
    Ok(Report::new(json!({"waves": answers}), text))
}

async fn pools_in(cx: &Context<'_>, state: WaveState) -> Result<Vec<Box<str>>, CliError> {
    let report = query(cx, "/maintenance", |_: &Waves| Box::from("")).await?;
    // It was read as this type already.
    let found: Waves = serde_json::from_value(report.json).unwrap_or(Waves { waves: Vec::new() });
    let waves = found.waves.into_iter().filter(|wave| wave.state == state);
    Ok(waves.map(|wave| wave.pool).collect())
}
