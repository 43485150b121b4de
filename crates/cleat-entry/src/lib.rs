//! The request path between callers and targets.
//!
//! An [`Entry`] answers every request once: with a target's own whole answer,
//! or with one of ours that says whether the request may have run. The
//! decisions are in `cleat-decide`; here are the sockets around them.

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
