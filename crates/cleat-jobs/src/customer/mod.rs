//! Customers, who submit jobs, and the limits on what each may have running.

mod customers;
mod document;
mod key;

pub use customers::{Caller, Customers};
pub use document::Document;
pub use key::KeyDigest;

use serde::{Deserialize, Serialize};

use crate::Size;

/// A customer, whose jobs the fleet runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: Box<str>,
    /// The digests of its keys, each of which authenticates it. With two keys a key can
    /// be rotated without an interruption.
    pub keys: Vec<KeyDigest>,
    /// Its guaranteed share under full load, in jobs a second.
    pub weight: f64,
    /// The maximum that it may have running on all workers together.
    pub cap: Cap,
}

/// The maximum that a customer may have running; a resource of 0 has no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap(pub Size);

impl Cap {
    /// Whether the cap allows `used` to be in use.
    pub fn allows(self, used: Size) -> bool {
        let fits = |used: u64, limit: u64| limit == 0 || used <= limit;
        let Cap(limit) = self;
        fits(used.cpu_milli, limit.cpu_milli)
            && fits(used.memory_mb, limit.memory_mb)
            && fits(used.gpu, limit.gpu)
    }

    /// Whether `used` is less than half of the limit of each limited resource.
    pub fn is_under_half(self, used: Size) -> bool {
        let under_half = |used: u64, limit: u64| limit == 0 || used.saturating_mul(2) < limit;
        let Cap(limit) = self;
        under_half(used.cpu_milli, limit.cpu_milli)
            && under_half(used.memory_mb, limit.memory_mb)
            && under_half(used.gpu, limit.gpu)
    }

    /// What may be used in addition to `used`; `u64::MAX` of a resource without a limit.
    pub fn remaining(self, used: Size) -> Size {
        let remaining = |used: u64, limit: u64| match limit {
            0 => u64::MAX,
            _ => limit.saturating_sub(used),
        };
        let Cap(limit) = self;
        Size {
            cpu_milli: remaining(used.cpu_milli, limit.cpu_milli),
            memory_mb: remaining(used.memory_mb, limit.memory_mb),
            gpu: remaining(used.gpu, limit.gpu),
        }
    }
}
