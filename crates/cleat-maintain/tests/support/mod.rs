//! Two pools under maintenance on a clock of their own, with faults.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod checks;
mod fleet;
mod platform;
mod sim;
mod trace;

pub(crate) use sim::{Fault, Sim};
pub(crate) use trace::replay;
