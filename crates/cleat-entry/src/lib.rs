//! The request path between callers and targets.
//!
//! An [`Entry`] sends exactly one final response to every request: either the
//! complete response of a target, or a problem response that states whether the
//! request may have run. The decision logic is in `cleat-decide`; this crate
//! implements the network I/O around it.

mod attempts;
mod config;
mod control;
mod counters;
mod entry;
mod headers;
mod problem;
mod request;
mod response;
mod route;
mod service;
mod target;
mod trace;
mod upstream;

pub use config::{EntryConfig, Limits};
pub use control::{ClaimError, Control};
pub use entry::{BindError, Entry};
pub use problem::ProblemKind;
pub use target::SlotMessage;
