//! What goes into and comes out of a gate.

use std::time::Duration;

use crate::request::Refusal;

/// Names one request at one gate. The entry never uses a number twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// Its name at this gate.
    pub ticket: Ticket,
    /// Who pays in fairness.
    pub caller: &'a str,
    /// When its time is up, on the clock of `now`.
    pub deadline: Duration,
}

/// What becomes of a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now and takes one of the free slots.
    Start,
    /// It waits.
    Wait,
    /// It waits in a full queue in place of a request of the caller that is
    /// furthest over its share.
    Displace {
        /// The request that no longer waits; answer it at once.
        displaced: Ticket,
        /// Its answer.
        refusal: Refusal,
    },
    /// It does not run; answer it at once.
    Refuse(Refusal),
}

/// What a free slot leads to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Dequeued {
    /// The request that takes the slot.
    pub start: Option<Ticket>,
    /// Requests that can no longer finish in time; answer them at once.
    pub refused: Vec<(Ticket, Refusal)>,
}
