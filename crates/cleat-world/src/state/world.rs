//! The replicated state as a whole.

use std::sync::Arc;

use cleat_json::Fault;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::answer_cache::AnswerCache;
use super::config::{ConfigRecord, ConfigState};
use super::targets::{Target, Targets};
use crate::command::to_bytes;
use crate::{FleetConfig, KeyTable, Place, Step, Wave};

/// The state that every entry instance computes from the replicated log.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct World {
    /// The clock of the state: the latest time of any command, in ms. Invariant: never
    /// decreases.
    pub(super) now_ms: u64,
    /// Incremented by each command that may change the configuration, the targets, or
    /// the places and maintenance of instances.
    pub(super) generation: u64,
    pub(super) config: ConfigState,
    pub(super) targets: Targets,
    pub(super) keys: KeyTable,
    /// The current incarnation of each entry instance.
    pub(super) incarnations: IndexMap<Box<str>, u64>,
    /// The place of each configured instance. Invariant: exactly one each.
    pub(super) places: IndexMap<Box<str>, Place>,
    /// The latest maintenance wave of each pool.
    pub(super) waves: IndexMap<Box<str>, Wave>,
    /// The answers to commands that may be repeated.
    pub(super) answer_cache: AnswerCache,
}

/// Why a snapshot could not be restored.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// The bytes are not a snapshot of this format. Run the same version on all
    /// instances.
    #[snafu(display("the snapshot is not of this version's format"))]
    NotASnapshot {
        /// The error of the codec.
        source: postcard::Error,
    },
    /// The configuration in the snapshot is not valid in this version. Run the version
    /// that accepted it.
    #[snafu(display("the configuration in the snapshot has {} faults", faults.len()))]
    ConfigRefused {
        /// All faults of the configuration.
        faults: Box<[Fault]>,
    },
}

impl World {
    /// Returns the version of the current configuration, 0 before the first.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns a number that grows with each change that may affect the request path:
    /// of the configuration, the targets, or the places and maintenance of instances.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the current incarnation of an entry instance.
    pub fn incarnation(&self, entry: &str) -> Option<u64> {
        self.incarnations.get(entry).copied()
    }

    /// Returns the current configuration.
    pub fn fleet(&self) -> &Arc<FleetConfig> {
        &self.config.fleet
    }

    /// Returns the text of the current configuration, empty at version 0.
    pub fn config_text(&self) -> &str {
        &self.config.text
    }

    /// Returns the latest accepted versions, with the newest last.
    pub fn history(&self) -> &[ConfigRecord] {
        &self.config.history
    }

    /// Returns the targets by name.
    pub fn targets(&self) -> &IndexMap<Box<str>, Target> {
        &self.targets.by_name
    }

    /// Iterates over the targets that may get new requests: those on instances that are
    /// not draining or rebooting. Targets on instances that leave their pool are already
    /// removed.
    pub fn serving_targets(&self) -> impl Iterator<Item = (&Box<str>, &Target)> {
        let targets = self.targets.by_name.iter();
        targets.filter(|(_, target)| !self.is_blocked(&target.announcement.instance))
    }

    /// Returns the place of each configured instance.
    pub fn places(&self) -> &IndexMap<Box<str>, Place> {
        &self.places
    }

    /// Returns the latest maintenance wave of each pool.
    pub fn waves(&self) -> &IndexMap<Box<str>, Wave> {
        &self.waves
    }

    fn is_blocked(&self, instance: &str) -> bool {
        let place = self.places.get(instance);
        let step = place.and_then(|place| self.step_of(instance, place));
        step.is_some_and(Step::blocks_requests)
    }

    /// Returns the claimed idempotency keys.
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Box<[u8]> {
        to_bytes(self)
    }

    /// Decodes the output of [`World::snapshot`].
    ///
    /// # Errors
    /// [`RestoreError`] if the bytes have another format, or if the configuration in them
    /// is not valid in this version.
    pub fn restore(bytes: &[u8]) -> Result<World, RestoreError> {
        let mut world: World = postcard::from_bytes(bytes).context(NotASnapshotSnafu)?;
        let parsed = world.config.reparse();
        parsed.map_err(|faults| RestoreError::ConfigRefused { faults })?;
        Ok(world)
    }
}
