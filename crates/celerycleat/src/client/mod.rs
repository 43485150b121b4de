//! Asking servers, one after the other.

mod attempt;
mod change;
mod exchange;
mod in_turn;
mod order;
mod problem;
mod query;

pub(crate) use attempt::list_attempts;
pub use attempt::{Attempt, Failure};
pub(crate) use change::{Change, send_change};
pub(crate) use exchange::Answer;
pub(crate) use order::send_order;
pub(crate) use problem::Problem;
pub(crate) use query::query;
