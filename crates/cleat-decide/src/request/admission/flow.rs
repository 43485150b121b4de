//! The state of one caller at an admission controller.

use std::collections::BTreeMap;
use std::time::Duration;

use cleat_world::CallerTerms;

use super::Ticket;
use super::quota::QuotaUsage;
use super::release_interval::ReleaseInterval;
use crate::retry_jitter::PendingReturns;

/// The virtual time that one request costs at weight 1. Large, so that the
/// division by a large weight still has a fine resolution.
const COST: u128 = 1 << 40;

/// Identifies a caller known to an admission controller, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct FlowId(pub(super) u32);

/// The order of the requests of one caller: by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) deadline: Duration,
    pub(super) serial: u64,
}

/// A caller's waiting requests, settings and accounting.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) terms: CallerTerms,
    pub(super) quota_usage: QuotaUsage,
    /// The virtual time at which its next request is due. Invariant: at least the
    /// due time of the last of its requests that the controller started from the queue.
    pub(super) next_due: u128,
    pub(super) waiting: BTreeMap<QueueKey, Ticket>,
    /// The average time between two starts of its requests while some wait. A freed
    /// slot starts the next request.
    pub(super) start_interval: ReleaseInterval,
    /// The expected returns of its refused requests.
    pub(super) returns: PendingReturns,
}

impl Flow {
    pub(super) fn new(terms: CallerTerms) -> Flow {
        Flow {
            terms,
            quota_usage: QuotaUsage::default(),
            next_due: 0,
            waiting: BTreeMap::new(),
            start_interval: ReleaseInterval::default(),
            returns: PendingReturns::default(),
        }
    }

    /// The virtual time that one request of this caller costs.
    pub(super) fn cost(&self) -> u128 {
        COST / u128::from(self.terms.weight.max(1))
    }

    /// The virtual time at which its last waiting request is finished: the due time
    /// of a request after it.
    pub(super) fn finish(&self) -> u128 {
        self.next_due + self.cost() * self.waiting.len() as u128
    }
}
