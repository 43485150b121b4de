//! The configuration in force, its history, and command ids.

use std::sync::Arc;

use cleat_json::Fault;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use serde_json::Value;

use crate::{ApplyConfig, ConfigAnswer, FleetConfig, ProposedConfig, merge};

/// How many versions `history` goes back.
const HISTORY_LENGTH: usize = 64;
/// How many command ids are remembered with their answers: more than a day's
/// changes at the size planned for.
const COMMAND_IDS: usize = 4_096;
/// How long a command id is remembered, in milliseconds: a week.
const COMMAND_ID_AGE_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

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
pub(super) struct Moment {
    /// Its log index.
    pub(super) index: u64,
    /// The state's clock (ms).
    pub(super) ms: u64,
}

/// An answer remembered for a command that is sent again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Remembered {
    at_ms: u64,
    answer: ConfigAnswer,
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
    /// In the order of arrival, bounded by age and count.
    remembered: IndexMap<Box<str>, Remembered>,
    /// `text` as read; derived, so it is not in snapshots.
    #[serde(skip)]
    pub(super) fleet: Arc<FleetConfig>,
}

impl ConfigState {
    pub(super) fn apply(&mut self, change: ApplyConfig, at: Moment) -> ConfigAnswer {
        self.forget_old(at.ms);
        let first = change
            .command_id
            .as_ref()
            .and_then(|id| self.remembered.get(id));
        if let Some(first) = first {
            return first.answer.clone();
        }
        let id = change.command_id.clone();
        let answer = self.decide(change, at);
        if let Some(id) = id {
            let answer = answer.clone();
            let at_ms = at.ms;
            self.remembered.insert(id, Remembered { at_ms, answer });
        }
        answer
    }

    /// Reads `text` again after a snapshot was restored.
    pub(super) fn reread(&mut self) -> Result<(), Box<[Fault]>> {
        if self.version > 0 {
            self.fleet = Arc::new(read(&self.text)?);
        }
        Ok(())
    }

    fn decide(&mut self, change: ApplyConfig, at: Moment) -> ConfigAnswer {
        if change.expect != self.version {
            let last = self.history.last();
            return ConfigAnswer::Refused {
                winner: self.version,
                winner_command_id: last.and_then(|record| record.command_id.clone()),
            };
        }
        let text = self.resulting_text(change.config);
        match read(&text) {
            Ok(fleet) => self.accept(text, change.command_id, fleet, at),
            Err(faults) => ConfigAnswer::Invalid { faults },
        }
    }

    /// A patch is relative to the version in force, which is the expected one.
    fn resulting_text(&self, proposed: ProposedConfig) -> Box<str> {
        match proposed {
            ProposedConfig::Whole(text) => text,
            ProposedConfig::Patch(patch) => {
                let made = merge(value_of(&self.text), &value_of(&patch));
                made.to_string().into()
            }
        }
    }

    fn accept(
        &mut self,
        text: Box<str>,
        command_id: Option<Box<str>>,
        fleet: FleetConfig,
        at: Moment,
    ) -> ConfigAnswer {
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

    fn forget_old(&mut self, at_ms: u64) {
        let values = self.remembered.values();
        let old = values.take_while(|r| r.at_ms + COMMAND_ID_AGE_MS <= at_ms);
        let too_old = old.count();
        let too_many = self.remembered.len().saturating_sub(COMMAND_IDS - 1);
        self.remembered.drain(..too_old.max(too_many));
    }
}

fn read(text: &str) -> Result<FleetConfig, Box<[Fault]>> {
    FleetConfig::parse(&value_of(text))
}

/// Proposals are built from parsed documents, so text that is no JSON reads
/// as null, which is refused as a wrong type.
fn value_of(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}
