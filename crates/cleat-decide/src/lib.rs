//! The decision logic of the request path and of slot sharing between entries,
//! without side effects.
//!
//! Each decision is a function of a state, an event and the current time.
//!
//! Time is a monotonic `Duration` since the process started, passed in as
//! `now`. Randomness is passed in too, as a seed or as a random number. Nothing
//! here takes locks, blocks or performs I/O.

mod protections;
mod request;
mod retry_jitter;
mod slots;

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
