//! One pass of maintenance over a pool.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// A maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The log index of the command that started it, unique among waves.
    pub id: u64,
    /// While set, no further instance is taken; those under way finish.
    pub paused: bool,
    /// The instances of the pool. Invariant: each is in the pool now.
    pub instances: IndexMap<Box<str>, StepState>,
}

/// How far one instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Its step.
    pub step: Step,
    /// The log index of the command that brought the step.
    pub epoch: u64,
}

/// The steps of maintenance of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Not begun.
    Waiting,
    /// Nothing new is sent to it; requests in progress finish.
    Draining,
    /// The platform reboots it.
    Rebooting,
    /// It is back and has to prove itself before it counts as available.
    Probation,
    /// Maintained.
    Done,
    /// It could not be maintained, and counts as away until it has proved
    /// itself.
    Failed,
    /// It serves again after a failure, without having been maintained.
    Skipped,
}

impl Step {
    /// Whether an instance in this step counts as away.
    pub fn is_away(self) -> bool {
        !matches!(self, Step::Waiting | Step::Done | Step::Skipped)
    }

    /// Whether targets on the instance get no requests.
    pub fn blocks_requests(self) -> bool {
        matches!(self, Step::Draining | Step::Rebooting)
    }

    /// Whether the wave has nothing left to do with the instance.
    pub fn is_final(self) -> bool {
        matches!(self, Step::Done | Step::Failed | Step::Skipped)
    }

    /// Whether the step `to` may follow.
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

    /// The step of an instance, if it is in the wave.
    pub fn step(&self, instance: &str) -> Option<Step> {
        self.instances.get(instance).map(|state| state.step)
    }
}
