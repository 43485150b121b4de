//! The current configuration and its history.

use std::sync::Arc;

use cleat_json::Fault;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{ApplyConfig, ConfigAnswer, FleetConfig, ProposedConfig, merge};

/// The maximum number of versions in the history.
const HISTORY_LENGTH: usize = 64;

/// An accepted version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// The version: 1, 2, 3…
    pub version: u64,
    /// The log index of the command that set the version.
    pub index: u64,
    /// The id of the command that set the version, if it had one.
    pub command_id: Option<Box<str>>,
    /// The time of the command on the clock of the state, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The size of the configuration text, in bytes.
    pub bytes: u64,
}

/// The log index and the time at which a command is applied.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogPosition {
    /// The log index of the command.
    pub(super) index: u64,
    /// The time on the clock of the state, in ms.
    pub(super) ms: u64,
}

/// A proposed configuration that was parsed and is valid.
pub(super) struct Proposal {
    pub(super) text: Box<str>,
    pub(super) fleet: FleetConfig,
}

/// The configuration part of the state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct ConfigState {
    /// Invariant: 0 before the first accepted configuration, then incremented with
    /// each, and never decremented.
    pub(super) version: u64,
    /// The text of the current version, empty at version 0.
    pub(super) text: Box<str>,
    /// The accepted versions, at most [`HISTORY_LENGTH`], with the newest last.
    pub(super) history: Vec<ConfigRecord>,
    /// The parsed form of `text`, which is derived and so not part of snapshots.
    #[serde(skip)]
    pub(super) fleet: Arc<FleetConfig>,
}

impl ConfigState {
    /// Parses `text` after a snapshot is restored.
    pub(super) fn reparse(&mut self) -> Result<(), Box<[Fault]>> {
        if self.version > 0 {
            self.fleet = Arc::new(read(&self.text)?);
        }
        Ok(())
    }

    /// Parses a proposal without changing the state.
    ///
    /// # Errors
    /// The answer that refuses the proposal.
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

    /// Returns the text of the proposed configuration. A patch is relative to the current
    /// version, which is the expected one.
    fn resulting_text(&self, proposed: &ProposedConfig) -> Box<str> {
        match proposed {
            ProposedConfig::Whole(text) => text.clone(),
            ProposedConfig::Patch(patch) => {
                let merged = merge(parse_json(&self.text), &parse_json(patch));
                merged.to_string().into()
            }
        }
    }

    /// Makes a checked proposal the current configuration.
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

/// Parses JSON text. Proposals are built from parsed documents, so invalid JSON is not
/// expected; it is read as null, which the parser refuses as a wrong type.
fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}
