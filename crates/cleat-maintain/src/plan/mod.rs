//! Planning: decides from the replicated state what to do next.

mod moves;
mod observations;
mod order;
mod reconciler;
mod steps;
mod wait_reason;

pub use order::next_instance;
pub use reconciler::{Effect, Event, Reconciler};
pub use wait_reason::{WaitReason, wait_reason};
