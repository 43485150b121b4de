//! What a wave that takes no further instance waits for.

use cleat_world::{Step, World};
use serde::Serialize;

use super::next_instance;

/// Why a wave takes no further instance now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum WaitReason {
    /// An operator paused it. Resume it.
    Paused,
    /// The pool's budget allows no instance away. Allow at least one.
    NoBudget,
    /// As many instances are away as the budget allows. Bring these back.
    Budget {
        /// How many may be away.
        budget: u64,
        /// The instances that are away.
        away: Box<[Box<str>]>,
    },
    /// One more instance away would leave too little room for the loss of a
    /// rack. It goes on once one of these is back.
    Reserve {
        /// How many may be away at most by choice.
        allowed: u64,
        /// The instances that are away.
        away: Box<[Box<str>]>,
    },
    /// The last instances are under way.
    UnderWay {
        /// These, with their steps.
        instances: Box<[(Box<str>, Step)]>,
    },
    /// The instances that are left are moving to another pool.
    Moving {
        /// These.
        instances: Box<[Box<str>]>,
    },
    /// The configuration names no platform any more. Name it.
    NoPlatform,
}

/// What the wave of `pool` waits for; `None` if there is none under way or it
/// takes an instance now.
pub fn wait_reason(world: &World, pool: &str) -> Option<WaitReason> {
    let wave = world.waves().get(pool)?;
    if wave.has_ended() {
        return None;
    }
    next_instance(world, pool).err()
}
