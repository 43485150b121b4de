//! What comes next, decided from the replicated state.

mod moves;
mod order;
mod reconciler;
mod steps;
mod wait_reason;
mod watch;

pub use order::next_instance;
pub use reconciler::{Effect, Event, Reconciler};
pub use wait_reason::{WaitReason, wait_reason};
