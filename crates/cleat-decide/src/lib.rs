//! Pure decisions of the request path and of control: (state, event, now) to
//! effects.
//!
//! Time is a monotonic `Duration` since the process's start, passed in as
//! `now`; randomness is a seed or a number passed in. Nothing here locks, waits
//! or does I/O.

mod protections;
mod request;
mod slots;
mod spread;

#[doc(hidden)]
pub use protections::Protections;
pub use request::{
    AdmissionController, AdmissionDecision, Arrival, AttemptContext, AttemptOutcome, Candidate,
    Dequeued, FinalOutcome, Health, Refusal, RefusalReason, RetryBudget, RetryDecision, Ticket,
    UnknownReason, choose_target, choose_target_with, decide_retry, eject_slow_targets, free_slots,
    slot_share,
};
pub use slots::{
    EntryIndex, Grant, GrantId, LeaseTerms, Message, Outgoing, Slot, Slots, TargetKey,
};
