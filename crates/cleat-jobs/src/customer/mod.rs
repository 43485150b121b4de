//! Customers: who may submit jobs, and how much each may have running.

mod customers;
mod document;
mod key;

pub use customers::{Caller, Customers};
pub use document::Document;
pub use key::KeyDigest;

use serde::{Deserialize, Serialize};

use crate::Size;

/// Someone whose jobs the fleet runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: Box<str>,
    /// The digests of its keys; any of them names it. Two at a time let a key be
    /// exchanged without a gap.
    pub keys: Vec<KeyDigest>,
    /// Its share when all is full: how many jobs a second it may count on.
    pub weight: f64,
    /// The most that it may have running on all workers together; 0 of a
    /// resource is no limit.
    pub cap: Cap,
}

/// The most that a customer may have running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap(pub Size);

impl Cap {
    /// Whether so much may run.
    pub fn allows(self, held: Size) -> bool {
        let fits = |held: u64, most: u64| most == 0 || held <= most;
        let Cap(most) = self;
        fits(held.cpu_milli, most.cpu_milli)
            && fits(held.memory_mb, most.memory_mb)
            && fits(held.gpu, most.gpu)
    }

    /// Whether less than half of each limited resource is in use.
    pub fn is_under_half(self, held: Size) -> bool {
        let free = |held: u64, most: u64| most == 0 || held.saturating_mul(2) < most;
        let Cap(most) = self;
        free(held.cpu_milli, most.cpu_milli)
            && free(held.memory_mb, most.memory_mb)
            && free(held.gpu, most.gpu)
    }

    /// How much may be added to what is held; without end where there is no
    /// limit.
    pub fn remaining(self, held: Size) -> Size {
        let left = |held: u64, most: u64| match most {
            0 => u64::MAX,
            _ => most.saturating_sub(held),
        };
        let Cap(most) = self;
        Size {
            cpu_milli: left(held.cpu_milli, most.cpu_milli),
            memory_mb: left(held.memory_mb, most.memory_mb),
            gpu: left(held.gpu, most.gpu),
        }
    }
}
