//! The leases of targets, watched by the leader.
//!
//! Renewals are not in the log: a new leader gives every target a full lease
//! from the moment it leads, so a lease never lapses early.

use std::time::Duration;

use cleat_world::World;
use indexmap::IndexMap;

/// A target whose lease has lapsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LapsedLease {
    /// Its name.
    pub name: Box<str>,
    /// The announcement that lapsed.
    pub incarnation: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    incarnation: u64,
    lapses_at: Duration,
}

/// When each target's lease lapses. Times are monotonic, since any fixed
/// moment of this process.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: IndexMap<Box<str>, Lease>,
    duration: Duration,
}

impl LeaseTable {
    /// Takes over the targets of `world`: what is new gets a full lease.
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

    /// Renews a lease; `false` if there is no such announcement.
    pub fn renew(&mut self, name: &str, incarnation: u64, now: Duration) -> bool {
        match self.leases.get_mut(name) {
            Some(lease) if lease.incarnation == incarnation => {
                lease.lapses_at = now + self.duration;
                true
            }
            _ => false,
        }
    }

    /// The targets whose lease has lapsed.
    pub fn lapsed(&self, now: Duration) -> Vec<LapsedLease> {
        let leases = self.leases.iter();
        let lapsed = leases.filter(|(_, lease)| lease.lapses_at <= now);
        let lapsed = lapsed.map(|(name, lease)| LapsedLease {
            name: name.clone(),
            incarnation: lease.incarnation,
        });
        lapsed.collect()
    }

    /// Forgets everything: this instance does not lead any more.
    pub fn clear(&mut self) {
        self.leases.clear();
    }
}
