//! The state shared by the parts of an instance.

use std::sync::{Arc, OnceLock, Weak};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cleat_entry::Entry;
use cleat_link::PeerError;
use cleat_quorum::{BootTime, ProposeError, Replica, Status};
use cleat_telemetry::Counters;
use tokio::sync::Notify;

use crate::leases::LeaseMonitor;
use crate::links::Links;
use crate::member::Members;
use crate::renewals::RenewalQueue;
use crate::world::SharedWorld;

/// The shared state of a running instance.
pub(crate) struct Node {
    pub(crate) data_centre: Box<str>,
    pub(crate) name: Box<str>,
    /// Identifies this life of the instance, that is, one run of its process.
    pub(crate) life: u64,
    pub(crate) members: Members,
    pub(crate) links: Arc<Links>,
    pub(crate) replica: Replica,
    pub(crate) world: Arc<SharedWorld>,
    pub(crate) leases: LeaseMonitor,
    pub(crate) renewals: RenewalQueue,
    pub(crate) counters: Counters,
    /// The request path of this instance; set once its listener is bound.
    pub(crate) entry: OnceLock<Weak<Entry<Node>>>,
    pub(crate) started_at: Instant,
    /// The log index of the entry that announced this life; set once.
    pub(crate) life_began: OnceLock<u64>,
    /// Wakes the task that returns idle borrowed slots.
    pub(crate) slots_changed: Notify,
}

impl Node {
    /// Whether this instance leads and its leader lease is valid. On an instance that
    /// is cut off, the lease to accept requests lasts longer than the leader lease.
    pub(crate) fn leads(&self) -> bool {
        self.replica.status().holds_leader_lease(BootTime::now())
    }

    /// Whether this instance accepts requests: its lease is valid, and the fleet knows no
    /// later life under its name.
    pub(crate) fn in_service(&self) -> bool {
        self.replica.status().in_service(BootTime::now()) && self.is_current_life()
    }

    /// Whether the fleet knows this life, and no later one, under this name.
    pub(crate) fn is_current_life(&self) -> bool {
        self.world.own_life() == Some(self.life)
    }

    /// The name of the leader, if this instance knows it.
    pub(crate) fn leader_name(&self, status: &Status) -> Option<Box<str>> {
        let leader = status.leader()?;
        self.members.name(leader).map(Into::into)
    }

    /// Converts an error of the local replica to one for other instances.
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

/// The wall clock, in milliseconds since the Unix epoch. Used only to record the age
/// of stored entries; no guarantee depends on it.
pub(crate) fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
