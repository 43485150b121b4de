//! What the cells of the fault matrix run on.
#![allow(clippy::unwrap_used, unreachable_pub)]

mod caller;
mod script;
mod target;
mod world;

pub use caller::{BODY, Ended, exchange};
pub use script::{Cell, Fault, Gated, Kind, Script, Step};
pub use target::{Mode, Target, own_answer};
pub use world::{Checked, World, ensure, until};
