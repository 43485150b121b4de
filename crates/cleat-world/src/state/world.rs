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

/// The state that every instance computes from the replicated log.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct World {
    /// The latest time any command carried (ms). Invariant: never runs back.
    pub(super) now_ms: u64,
    /// Grows with each change of the configuration, the targets, or the
    /// places and maintenance of instances.
    pub(super) generation: u64,
    pub(super) config: ConfigState,
    pub(super) targets: Targets,
    pub(super) keys: KeyTable,
    /// The current incarnation of each of the system's own instances.
    pub(super) incarnations: IndexMap<Box<str>, u64>,
    /// The place of each configured instance. Invariant: one each.
    pub(super) places: IndexMap<Box<str>, Place>,
    /// The latest maintenance wave of each pool.
    pub(super) waves: IndexMap<Box<str>, Wave>,
    /// The answers of commands that may be sent again.
    pub(super) answer_cache: AnswerCache,
}

/// A snapshot that could not be restored.
#[derive(Debug, Snafu)]
pub enum RestoreError {
    /// The bytes are not a snapshot of this format; run the same version on
    /// all instances.
    #[snafu(display("the snapshot is not of this version's format"))]
    NotASnapshot {
        /// What the codec says.
        source: postcard::Error,
    },
    /// The configuration in the snapshot has faults by this version's rules;
    /// run the version that accepted it.
    #[snafu(display("the configuration in the snapshot has {} faults", faults.len()))]
    ConfigRefused {
        /// Every fault found.
        faults: Box<[Fault]>,
    },
}

impl World {
    /// The version of the configuration, 0 before the first.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Grows with each change of what the request path needs: the
    /// configuration and the targets.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The current incarnation of one of the system's own instances.
    pub fn incarnation(&self, entry: &str) -> Option<u64> {
        self.incarnations.get(entry).copied()
    }

    /// The configuration.
    pub fn fleet(&self) -> &Arc<FleetConfig> {
        &self.config.fleet
    }

    /// The configuration as accepted, empty at version 0.
    pub fn config_text(&self) -> &str {
        &self.config.text
    }

    /// Accepted versions, the newest last.
    pub fn history(&self) -> &[ConfigRecord] {
        &self.config.history
    }

    /// The targets by name.
    pub fn targets(&self) -> &IndexMap<Box<str>, Target> {
        &self.targets.by_name
    }

    /// The targets that take requests: those on instances that do not drain
    /// or reboot. Targets on instances that leave their pool are withdrawn.
    pub fn serving_targets(&self) -> impl Iterator<Item = (&Box<str>, &Target)> {
        let targets = self.targets.by_name.iter();
        targets.filter(|(_, target)| !self.is_blocked(&target.announcement.instance))
    }

    /// The place of each configured instance.
    pub fn places(&self) -> &IndexMap<Box<str>, Place> {
        &self.places
    }

    /// The latest maintenance wave of each pool.
    pub fn waves(&self) -> &IndexMap<Box<str>, Wave> {
        &self.waves
    }

    fn is_blocked(&self, instance: &str) -> bool {
        let place = self.places.get(instance);
        let step = place.and_then(|place| self.step_of(instance, place));
        step.is_some_and(Step::blocks_requests)
    }

    /// The claimed idempotency keys.
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Box<[u8]> {
        to_bytes(self)
    }

    /// Reads what [`World::snapshot`] wrote.
    ///
    /// # Errors
    /// [`RestoreError`] if the bytes are of another format.
    pub fn restore(bytes: &[u8]) -> Result<World, RestoreError> {
        let mut world: World = postcard::from_bytes(bytes).context(NotASnapshotSnafu)?;
        let parsed = world.config.reparse();
        parsed.map_err(|faults| RestoreError::ConfigRefused { faults })?;
        Ok(world)
    }
}
