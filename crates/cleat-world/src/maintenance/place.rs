//! Which pool an instance is in.

use serde::{Deserialize, Serialize};

/// The place of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The one pool it belongs to. Invariant: only the end of a move changes it,
    /// or the configuration, if the pool is gone or the instance never served
    /// there.
    pub pool: Box<str>,
    /// The pool that the configuration last declared for it.
    pub configured_pool: Box<str>,
    /// The log index of the command that brought `pool` and `phase`: it
    /// fences commands that were made for an earlier phase.
    pub epoch: u64,
    /// How far a move is.
    pub phase: Phase,
}

/// How far an instance is in joining its pool or in moving to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It belongs to the pool and no target has run on it there yet. It adds
    /// to the pool without having been part of its promise, so it does not
    /// count as away.
    Joining,
    /// It runs targets of the pool's services.
    Member,
    /// As a member; a move that the configuration declared starts once the
    /// budget of the pool has room.
    Ordered {
        /// The pool it is to move to.
        to: Box<str>,
    },
    /// Nothing new is sent to it; requests in progress finish.
    Leaving {
        /// The pool it moves to.
        to: Box<str>,
    },
    /// Nothing is in progress on it.
    Drained {
        /// The pool it moves to.
        to: Box<str>,
    },
}

impl Phase {
    /// Whether targets on the instance may be announced.
    pub fn accepts_targets(&self) -> bool {
        matches!(self, Phase::Joining | Phase::Member | Phase::Ordered { .. })
    }

    /// Where a move goes, if there is one.
    pub fn destination(&self) -> Option<&str> {
        match self {
            Phase::Joining | Phase::Member => None,
            Phase::Ordered { to } | Phase::Leaving { to } | Phase::Drained { to } => Some(to),
        }
    }
}

impl Place {
    /// A place in the pool `home`, from the log index `epoch` on.
    pub(crate) fn joining(pool: &str, epoch: u64) -> Place {
        Place {
            pool: pool.into(),
            configured_pool: pool.into(),
            epoch,
            phase: Phase::Joining,
        }
    }

    pub(crate) fn enter(&mut self, phase: Phase, epoch: u64) {
        self.phase = phase;
        self.epoch = epoch;
    }
}
