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
    Arrival, Arrived, AttemptOutcome, Candidate, FinalOutcome, Gate, Health, Refusal,
    RefusalReason, Released, RequestFacts, RetryBudget, Ticket, UnknownReason, Verdict, choose,
    choose_with, eject_slow, free_slots, share, verdict,
};
pub use slots::{Entry, Grant, GrantId, Message, Outgoing, Slot, SlotTerms, Slots, TargetKey};
