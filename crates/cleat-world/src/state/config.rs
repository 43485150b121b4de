//! The configuration in force and its history.

use std::sync::Arc;

use cleat_json::Fault;
use serde::{Deserialize, Serialize};

use serde_json::Value;

use crate::{ApplyConfig, ConfigAnswer, FleetConfig, ProposedConfig, merge};

/// How many versions `history` goes back.
const HISTORY_LENGTH: usize = 64;
/// One accepted version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Counts 1, 2, 3…
    pub version: u64,
    /// The log index from which it is in force.
    pub index: u64,
    /// The command that brought it, if it had an id.
    pub command_id: Option<Box<str>>,
    /// When, in the state's clock (ms since the Unix epoch).
    pub at_ms: u64,
    /// The length of the configuration, in bytes.
    pub bytes: u64,
}

/// When a command is applied.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogPosition {
    /// Its log index.
    pub(super) index: u64,
    /// The state's clock (ms).
    pub(super) ms: u64,
}

/// A configuration that was read and found valid.
pub(super) struct Proposal {
    pub(super) text: Box<str>,
    pub(super) fleet: FleetConfig,
}

/// The part of the state that concerns the configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct ConfigState {
    /// Invariant: 0 before the first accepted configuration, then one more
    /// with each; it never goes back.
    pub(super) version: u64,
    /// The text of the version in force, empty at version 0.
    pub(super) text: Box<str>,
    /// The newest last, at most [`HISTORY_LENGTH`].
    pub(super) history: Vec<ConfigRecord>,
    /// `text` as read; derived, so it is not in snapshots.
    #[serde(skip)]
    pub(super) fleet: Arc<FleetConfig>,
}

impl ConfigState {
    /// Reads `text` again after a snapshot was restored.
    pub(super) fn reparse(&mut self) -> Result<(), Box<[Fault]>> {
        if self.version > 0 {
            self.fleet = Arc::new(read(&self.text)?);
        }
        Ok(())
    }

    /// Reads a proposal without changing anything.
    ///
    /// # Errors
    /// The answer that refuses it.
    pub(super) fn check(&self, change: &ApplyConfig) -> Result<Proposal, ConfigAnswer> {
        if change.expect != self.version {
            let last = self.history.last();
            return Err(ConfigAnswer::Refused {
                winner: self.version,
                winner_command_id: last.and_then(|record| record.command_id.clone()),
            });
        }
        let text = self.resulting_text(&change.config);
        match read(&text) {
            Ok(fleet) => Ok(Proposal { text, fleet }),
            Err(faults) => Err(ConfigAnswer::Invalid { faults }),
        }
    }

    /// A patch is relative to the version in force, which is the expected one.
    fn resulting_text(&self, proposed: &ProposedConfig) -> Box<str> {
        match proposed {
            ProposedConfig::Whole(text) => text.clone(),
            ProposedConfig::Patch(patch) => {
                let made = merge(parse_json(&self.text), &parse_json(patch));
                made.to_string().into()
            }
        }
    }

    /// Brings a checked proposal into force.
    pub(super) fn accept(
        &mut self,
        proposal: Proposal,
        command_id: Option<Box<str>>,
        at: LogPosition,
    ) -> ConfigAnswer {
        let Proposal { text, fleet } = proposal;
        self.version += 1;
        self.fleet = Arc::new(fleet);
        self.history.push(ConfigRecord {
            version: self.version,
            index: at.index,
            command_id,
            at_ms: at.ms,
            bytes: text.len() as u64,
        });
        if self.history.len() > HISTORY_LENGTH {
            self.history.remove(0);
        }
        self.text = text;
        ConfigAnswer::Accepted {
            version: self.version,
        }
    }
}

fn read(text: &str) -> Result<FleetConfig, Box<[Fault]>> {
    FleetConfig::parse(&parse_json(text))
}

/// Proposals are built from parsed documents, so text that is no JSON reads
/// as null, which is refused as a wrong type.
fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}
