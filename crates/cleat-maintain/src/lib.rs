//! Moves of instances between pools, and maintenance waves.
//!
//! [`Reconciler`] decides, purely, what comes next; [`run`] carries it out on
//! an instance while it leads. Each step is committed to the replicated log
//! before its effect on the [`Platform`] begins, and every effect is
//! idempotent by its [`Token`], so a step can be taken up again by any leader.

mod plan;
mod platform;
mod run;

pub use plan::{Effect, Event, Reconciler, Waiting, next_instance, waiting};
pub use platform::{Action, HttpPlatform, Platform, PlatformError, Report, Token};
pub use run::{Control, ControlLost, run};
