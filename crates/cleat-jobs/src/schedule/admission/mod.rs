//! Decides whether a submitted job is accepted, or refused because it cannot be
//! completed while its result has value.
//!
//! `load.rs` sums the work and the capacity of each pool once a tick. `estimate.rs`
//! answers from these sums when a job would start, and keeps them up to date as jobs
//! are accepted. `bookings.rs` remembers refused jobs until the time at which their
//! callers were told to return. `decision.rs` combines them.

mod bookings;
mod decision;
mod estimate;
mod load;
mod report;

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use crate::collections::{IndexMap, IndexSet};
use crate::{JobId, JobSpec, Queue};
use bookings::Bookings;
use estimate::{Demand, PoolLoad};
use report::RefusalReport;

/// A submitted job that the replicated state does not contain.
#[derive(Clone, Copy, Debug)]
pub struct Submission<'a> {
    /// The id of the job.
    pub id: JobId,
    /// The queue that it was submitted to.
    pub queue: &'a Queue,
    /// The customer that submitted it, if any.
    pub customer: Option<&'a str>,
    /// The specification of the job.
    pub spec: &'a JobSpec,
    /// How long ago it arrived.
    pub age: Duration,
}

/// The decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is to be stored.
    Accept {
        /// The estimated time until its first tasks start; `None` if it was accepted
        /// without an estimate.
        wait: Option<Duration>,
    },
    /// The job is not to be stored.
    Refuse {
        /// After which time the caller should submit it again: a whole number of
        /// seconds, since callers are told whole seconds.
        retry_after: Duration,
        /// The reason.
        reason: RefusalReason,
    },
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Its customer exceeds its share, and no capacity is left beside the work that goes
    /// first.
    BeyondShare,
    /// The pool has too little capacity for the work that goes first and the job.
    Capacity,
}

impl RefusalReason {
    /// The name of the reason in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::BeyondShare => "beyond_share",
            RefusalReason::Capacity => "capacity",
        }
    }
}

/// The maximum number of accepted jobs that are remembered until they are applied: those
/// of 30 s of 500 submissions a second. A commit usually takes some 20 ms.
const MAX_UNAPPLIED: usize = 16_384;

/// A job that was accepted and is not in the replicated state yet.
#[derive(Clone, Debug)]
struct Unapplied {
    pool: Box<str>,
    demand: Demand,
    /// Whether the job was expected to be in time when it was accepted.
    in_time: bool,
    /// The time on the owner's clock.
    accepted_at: Duration,
}

/// What the decisions on submitted jobs are based on.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    /// The sums of each pool. Empty before the first tick.
    pools: IndexMap<Box<str>, PoolLoad>,
    /// Jobs that were accepted and may still be committed. A repeated submission of one
    /// of them must not be refused.
    unapplied: IndexMap<JobId, Unapplied>,
    /// The same jobs in the order in which they were accepted. May contain applied ones.
    unapplied_order: VecDeque<JobId>,
    /// Active jobs that were accepted although they will be late. Other jobs need not be
    /// refused for their sake.
    accepted_late: IndexSet<JobId>,
    /// Refused jobs whose callers are expected to return.
    bookings: Bookings,
    report: RefusalReport,
}

impl AdmissionState {
    /// Records that a job is in the replicated state.
    pub(crate) fn record_applied(&mut self, id: JobId) {
        self.unapplied.swap_remove(&id);
        while self
            .unapplied_order
            .pop_front_if(|first| !self.unapplied.contains_key(first))
            .is_some()
        {}
    }

    fn record_accepted(&mut self, id: JobId, unapplied: Unapplied) {
        if self.unapplied.insert(id, unapplied).is_none() {
            self.unapplied_order.push_back(id);
        }
        while self.unapplied.len() > MAX_UNAPPLIED
            && let Some(oldest) = self.unapplied_order.pop_front()
        {
            self.unapplied.swap_remove(&oldest);
        }
    }
}
