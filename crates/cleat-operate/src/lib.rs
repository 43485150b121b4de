//! The interfaces for operators and targets: HTTP/1.1 with JSON.
//!
//! Handlers read the local replica and propose commands through
//! [`ControlPlane`], which the daemon implements.

mod control;
mod http;
mod jobs;
mod operators;
mod targets;

pub use control::{ControlError, ControlPlane, InstanceStatus, Role};
pub use http::{ListenError, Listener, RunningServer};
pub use jobs::{JobControl, JobOperatorServer};
pub use operators::OperatorServer;
pub use targets::{LapsedLease, LeaseTable, TargetServer};
