//! The place of an instance: its pool and the phase of joining or leaving it.

use serde::{Deserialize, Serialize};

/// The place of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The one pool that the instance belongs to. Invariant: it changes only at the end
    /// of a move, or with the configuration if the pool was removed or the instance
    /// never served there.
    pub pool: Box<str>,
    /// The pool that the latest configuration declares for the instance.
    pub configured_pool: Box<str>,
    /// The log index of the command that set `pool` and `phase`. It fences off commands
    /// that were proposed in an earlier phase.
    pub epoch: u64,
    /// The phase of joining the pool or of moving to another.
    pub phase: Phase,
}

/// The phases of an instance that joins a pool, belongs to it, and moves to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The instance belongs to the pool, but no target has run on it there yet. The
    /// availability budget does not cover it before that, so it does not count as away.
    Joining,
    /// The instance has run targets of the pool's services.
    Member,
    /// Like [`Phase::Member`], with a move that the configuration declared and that
    /// starts once the availability budget of the pool allows it.
    Ordered {
        /// The destination pool.
        to: Box<str>,
    },
    /// The instance gets no new requests, while those in progress finish.
    Leaving {
        /// The destination pool.
        to: Box<str>,
    },
    /// No request is in progress on the instance.
    Drained {
        /// The destination pool.
        to: Box<str>,
    },
}

impl Phase {
    /// Whether targets may be announced on the instance.
    pub fn accepts_targets(&self) -> bool {
        matches!(self, Phase::Joining | Phase::Member | Phase::Ordered { .. })
    }

    /// Returns the destination pool of the move, if there is one.
    pub fn destination(&self) -> Option<&str> {
        match self {
            Phase::Joining | Phase::Member => None,
            Phase::Ordered { to } | Phase::Leaving { to } | Phase::Drained { to } => Some(to),
        }
    }
}

impl Place {
    /// Returns the place of an instance that joins `pool`, its configured pool, at the
    /// log index `epoch`.
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
