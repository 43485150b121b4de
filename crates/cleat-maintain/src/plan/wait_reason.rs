//! Why a wave does not continue with another instance.

use cleat_world::{Step, World};
use serde::Serialize;

use super::next_instance;

/// Why a wave does not continue with another instance now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum WaitReason {
    /// An operator paused the wave. Resume it.
    Paused,
    /// The pool's budget allows no unavailable instance. Allow at least one.
    NoBudget,
    /// As many instances are unavailable as the budget allows. Bring these back.
    Budget {
        /// How many instances may be unavailable.
        budget: u64,
        /// The unavailable instances.
        away: Box<[Box<str>]>,
    },
    /// One more unavailable instance would leave too little of the budget for the
    /// failure of a rack. The wave continues once one of these is back.
    Reserve {
        /// How many instances the wave may have unavailable at once.
        allowed: u64,
        /// The unavailable instances.
        away: Box<[Box<str>]>,
    },
    /// The wave has started on its last instances.
    UnderWay {
        /// The instances that are not finished, with their steps.
        instances: Box<[(Box<str>, Step)]>,
    },
    /// The remaining instances are moving to another pool.
    Moving {
        /// The moving instances.
        instances: Box<[Box<str>]>,
    },
    /// The configuration no longer names a platform. Add it.
    NoPlatform,
}

/// Why the wave of `pool` does not continue; `None` if there is no wave in progress
/// or it continues with another instance now.
pub fn wait_reason(world: &World, pool: &str) -> Option<WaitReason> {
    let wave = world.waves().get(pool)?;
    if wave.has_ended() {
        return None;
    }
    next_instance(world, pool).err()
}
