//! One caller at a gate.

use std::collections::BTreeMap;
use std::time::Duration;

use cleat_world::CallerTerms;

use super::Ticket;
use super::pace::Pace;
use super::quota::QuotaUse;
use crate::spread::Returns;

/// Virtual time that one request costs at weight 1. Large, so that heavy
/// weights still divide it finely.
const COST: u128 = 1 << 40;

/// A small key of a caller known to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct FlowId(pub(super) u32);

/// Where a request stands among those of its caller: the earliest deadline
/// first, then in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) deadline: Duration,
    pub(super) serial: u64,
}

/// A caller's waiting requests and its account.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) terms: CallerTerms,
    pub(super) quota_use: QuotaUse,
    /// Virtual time at which its next request is due. Invariant: at least that
    /// of the last request started from here while it had requests waiting.
    pub(super) due: u128,
    pub(super) waiting: BTreeMap<Place, Ticket>,
    /// How fast its own requests start while some wait.
    pub(super) pace: Pace,
    /// Its refused requests that are still due to return.
    pub(super) returns: Returns,
}

impl Flow {
    pub(super) fn new(terms: CallerTerms) -> Flow {
        Flow {
            terms,
            quota_use: QuotaUse::default(),
            due: 0,
            waiting: BTreeMap::new(),
            pace: Pace::default(),
            returns: Returns::default(),
        }
    }

    /// Virtual time that one request of this caller costs.
    pub(super) fn cost(&self) -> u128 {
        COST / u128::from(self.terms.weight.max(1))
    }

    /// Virtual time at which its last waiting request is due.
    pub(super) fn tail(&self) -> u128 {
        self.due + self.cost() * self.waiting.len() as u128
    }
}
