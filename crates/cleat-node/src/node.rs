//! What the parts of one instance share.

use std::sync::{Arc, OnceLock, Weak};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cleat_entry::Entry;
use cleat_link::PeerError;
use cleat_quorum::{BootTime, ProposeError, Replica, Status};
use cleat_telemetry::Counters;
use tokio::sync::Notify;

use crate::leases::LeaseWatch;
use crate::links::Links;
use crate::member::Members;
use crate::renewals::Renewals;
use crate::world::SharedWorld;

/// One running instance's control side.
pub(crate) struct Node {
    pub(crate) data_centre: Box<str>,
    pub(crate) name: Box<str>,
    /// A number that no earlier run of this instance had.
    pub(crate) life: u64,
    pub(crate) members: Members,
    pub(crate) links: Arc<Links>,
    pub(crate) replica: Replica,
    pub(crate) world: Arc<SharedWorld>,
    pub(crate) leases: LeaseWatch,
    pub(crate) renewals: Renewals,
    pub(crate) counters: Counters,
    /// The request path of this instance; set once it listens.
    pub(crate) entry: OnceLock<Weak<Entry<Node>>>,
    pub(crate) started: Instant,
    /// The log index at which this life became known; set once.
    pub(crate) life_began: OnceLock<u64>,
    /// Wakes who looks for idle slots on loan.
    pub(crate) slots_moved: Notify,
}

impl Node {
    /// Whether this instance leads and its lead is certain to hold: the lease
    /// to take requests outlives the lead of an instance that is cut off.
    pub(crate) fn leads(&self) -> bool {
        self.replica.status().holds_leader_lease(BootTime::now())
    }

    /// Whether this instance takes requests: its lease holds, and it is the
    /// only one of its name that is known.
    pub(crate) fn in_service(&self) -> bool {
        self.replica.status().in_service(BootTime::now()) && self.is_current_life()
    }

    /// Whether the fleet knows this run, and no later one, under this name.
    pub(crate) fn is_current_life(&self) -> bool {
        self.world.own_life() == Some(self.life)
    }

    /// The leader's name as far as it is known here.
    pub(crate) fn leader_name(&self, status: &Status) -> Option<Box<str>> {
        let leader = status.leader()?;
        self.members.name(leader).map(Into::into)
    }

    /// Turns a failure of the local replica into what other instances hear.
    pub(crate) fn peer_error(&self, error: &ProposeError) -> PeerError {
        match error {
            ProposeError::NotLeader { leader } => PeerError::NotLeader {
                leader: leader.and_then(|id| self.members.name(id)).map(Into::into),
            },
            ProposeError::NoQuorum => PeerError::NoQuorum,
            ProposeError::OutcomeUnknown => PeerError::OutcomeUnknown,
            ProposeError::TooLarge { .. } => PeerError::TooLarge,
            ProposeError::Stopped => PeerError::Stopping,
        }
    }
}

/// The wall clock, in milliseconds since the Unix epoch. Only stamps the
/// age of what is remembered; no promise rests on it.
pub(crate) fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
