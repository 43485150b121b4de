//! Inputs and results of the admission controller.

use std::time::Duration;

use crate::request::Refusal;

/// Identifies one request at one admission controller. The entry never reuses a
/// number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that arrives for admission.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// Its identifier at this controller.
    pub ticket: Ticket,
    /// The caller whose share and quota it counts against.
    pub caller: &'a str,
    /// Its deadline, on the same clock as `now`.
    pub deadline: Duration,
}

/// What happens to a request on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now and uses one of the free slots.
    Start,
    /// It waits in the queue.
    Wait,
    /// It waits in the queue, which was full, in place of a request of the caller
    /// that is furthest above its share.
    Displace {
        /// The request that lost its place and must be answered at once.
        displaced: Ticket,
        /// The answer to the displaced request.
        refusal: Refusal,
    },
    /// It does not run and must be answered at once.
    Refuse(Refusal),
}

/// The requests that leave the queue when a slot is freed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Dequeued {
    /// The request that starts on the slot.
    pub start: Option<Ticket>,
    /// Requests that can no longer finish in time and must be answered at once.
    pub refused: Vec<(Ticket, Refusal)>,
}
