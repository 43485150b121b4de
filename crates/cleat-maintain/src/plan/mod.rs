//! What comes next, decided from the replicated state.

mod moves;
mod order;
mod reconciler;
mod steps;
mod waiting;
mod watch;

pub use order::next_instance;
pub use reconciler::{Effect, Event, Reconciler};
pub use waiting::{Waiting, waiting};
