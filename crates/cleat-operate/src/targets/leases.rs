//! The leases of targets, which the leader tracks.
//!
//! Renewals are not written to the log. A new leader instead starts with a full lease
//! for every target, so a change of leader never makes a lease lapse early.

use std::time::Duration;

use cleat_world::World;
use indexmap::IndexMap;

/// A target whose lease has lapsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LapsedLease {
    /// The name of the target.
    pub name: Box<str>,
    /// The incarnation of the target whose lease lapsed.
    pub incarnation: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    incarnation: u64,
    lapses_at: Duration,
}

/// The time at which each target's lease lapses. Times are monotonic, measured from
/// a fixed moment of this process.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: IndexMap<Box<str>, Lease>,
    /// The configured lease duration.
    duration: Duration,
}

impl LeaseTable {
    /// Reconciles the table with the targets of `world`. New targets and new
    /// incarnations get a full lease.
    pub fn sync(&mut self, world: &World, now: Duration) {
        self.duration = Duration::from_millis(world.fleet().target_lease_ms);
        let targets = world.targets();
        self.leases.retain(|name, lease| {
            let target = targets.get(name);
            target.is_some_and(|target| target.incarnation == lease.incarnation)
        });
        let lapses_at = now + self.duration;
        for (name, target) in targets {
            let incarnation = target.incarnation;
            let lease = Lease {
                incarnation,
                lapses_at,
            };
            self.leases.entry(name.clone()).or_insert(lease);
        }
    }

    /// Renews a lease. Returns `false` if the target has no such incarnation.
    pub fn renew(&mut self, name: &str, incarnation: u64, now: Duration) -> bool {
        match self.leases.get_mut(name) {
            Some(lease) if lease.incarnation == incarnation => {
                lease.lapses_at = now + self.duration;
                true
            }
            _ => false,
        }
    }

    /// Returns the targets whose lease has lapsed.
    pub fn lapsed(&self, now: Duration) -> Vec<LapsedLease> {
        let leases = self.leases.iter();
        let lapsed = leases.filter(|(_, lease)| lease.lapses_at <= now);
        let lapsed = lapsed.map(|(name, lease)| LapsedLease {
            name: name.clone(),
            incarnation: lease.incarnation,
        });
        lapsed.collect()
    }

    /// Removes all leases, when this instance stops being the leader.
    pub fn clear(&mut self) {
        self.leases.clear();
    }
}
