//! Moves of instances between pools, and maintenance waves.
//!
//! [`Reconciler`] decides, purely, what comes next; [`run`] carries it out on
//! an instance while it leads. Each step is committed to the replicated log
//! before its effect on the [`Platform`] begins, and every effect is
//! idempotent by its [`ActionToken`], so a step can be taken up again by any leader.

mod plan;
mod platform;
mod run;

pub use plan::{Effect, Event, Reconciler, WaitReason, next_instance, wait_reason};
pub use platform::{Action, ActionState, ActionToken, HttpPlatform, Platform, PlatformError};
pub use run::{LeadershipLost, ReplicatedState, run};
