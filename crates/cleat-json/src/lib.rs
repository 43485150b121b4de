//! Walks a JSON document and collects every fault with its path.
//!
//! `serde` stops at the first fault; operators want the whole list at once.
//! An [`Object`] reads typed fields out of a `serde_json` object, writes what
//! is wrong into [`Faults`], and goes on with a default.

mod fault;
mod object;
mod path;

pub use fault::{Fault, FaultKind, Faults};
pub use object::{Node, Object};
pub use path::Path;
