//! Maintenance waves: one round of maintenance of all instances of a pool.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The log index of the command that started it, unique among waves.
    pub id: u64,
    /// While set, no further instance starts maintenance; those in progress finish.
    pub paused: bool,
    /// The instances to maintain. Invariant: each currently belongs to the pool.
    pub instances: IndexMap<Box<str>, StepState>,
}

/// The progress of an instance in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// The current step.
    pub step: Step,
    /// The log index of the command that set the step.
    pub epoch: u64,
}

/// The steps of the maintenance of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Maintenance has not started.
    Waiting,
    /// The instance gets no new requests, while those in progress finish.
    Draining,
    /// The platform reboots the instance.
    Rebooting,
    /// The instance is back and has to serve for the probation time without
    /// interruption before it counts as available.
    Probation,
    /// Maintenance is complete.
    Done,
    /// Maintenance failed. The instance counts as away until it has served for the
    /// probation time without interruption.
    Failed,
    /// The instance serves again after a failure, without having been maintained.
    Skipped,
}

impl Step {
    /// Whether an instance in this step counts as away.
    pub fn is_away(self) -> bool {
        !matches!(self, Step::Waiting | Step::Done | Step::Skipped)
    }

    /// Whether targets on the instance get no new requests.
    pub fn blocks_requests(self) -> bool {
        matches!(self, Step::Draining | Step::Rebooting)
    }

    /// Whether the wave has no further work to do on the instance.
    pub fn is_final(self) -> bool {
        matches!(self, Step::Done | Step::Failed | Step::Skipped)
    }

    /// Whether the step `to` may follow this one.
    pub fn can_transition_to(self, to: Step) -> bool {
        matches!(
            (self, to),
            (Step::Waiting, Step::Draining)
                | (Step::Draining, Step::Rebooting | Step::Failed)
                | (Step::Rebooting, Step::Probation | Step::Failed)
                | (Step::Probation, Step::Done | Step::Failed)
                | (Step::Failed, Step::Skipped)
        )
    }
}

impl Wave {
    /// Whether every instance is done, failed or skipped.
    pub fn has_ended(&self) -> bool {
        self.instances.values().all(|state| state.step.is_final())
    }

    /// Returns the step of an instance, if it is part of the wave.
    pub fn step(&self, instance: &str) -> Option<Step> {
        self.instances.get(instance).map(|state| state.step)
    }
}
