//! Decisions on one request: whether and when it starts, where it goes, and
//! what follows from how a try ended.

mod budget;
mod choice;
mod gate;
mod health;
mod outcome;
mod refusal;
mod share;
mod verdict;

pub use budget::RetryBudget;
pub use choice::{Candidate, choose, choose_with, eject_slow, free_slots};
pub use gate::{Arrival, Arrived, Gate, Released, Ticket};
pub use health::Health;
pub use outcome::{AttemptOutcome, FinalOutcome, RequestFacts, UnknownReason, Verdict};
pub use refusal::{Refusal, RefusalReason};
pub use share::share;
pub use verdict::verdict;
