//! Moves of instances between pools, and maintenance waves.
//!
//! [`Reconciler`] decides what to do next, without side effects. [`run()`] executes
//! the decisions on an instance while it is the leader. Each step is committed to
//! the replicated log before its action on the [`Platform`] begins, and every
//! action is idempotent by its [`ActionToken`], so any later leader can resume a
//! step.

mod plan;
mod platform;
mod run;

pub use plan::{Effect, Event, Reconciler, WaitReason, next_instance, wait_reason};
pub use platform::{Action, ActionState, ActionToken, HttpPlatform, Platform, PlatformError};
pub use run::{LeadershipLost, ReplicatedState, run};
