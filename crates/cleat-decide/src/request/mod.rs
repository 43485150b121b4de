//! Decisions on a single request: whether and when it starts, which target it
//! goes to, and what follows from the outcome of an attempt.

mod admission;
mod budget;
mod choice;
mod health;
mod outcome;
mod refusal;
mod retry;
mod share;

pub use admission::{AdmissionController, AdmissionDecision, Arrival, Dequeued, Ticket};
pub use budget::RetryBudget;
pub use choice::{Candidate, choose_target, choose_target_with, eject_slow_targets, free_slots};
pub use health::Health;
pub use outcome::{AttemptContext, AttemptOutcome, FinalOutcome, RetryDecision, UnknownReason};
pub use refusal::{Refusal, RefusalReason};
pub use retry::decide_retry;
pub use share::slot_share;
