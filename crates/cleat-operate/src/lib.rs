//! The HTTP interfaces for operators and targets: HTTP/1.1 with JSON bodies.
//!
//! The handlers read the local replica of the fleet's state and propose commands
//! through [`ControlPlane`], which the instance implements. The interface for jobs
//! sends calls to the leader through [`JobControl`].

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
