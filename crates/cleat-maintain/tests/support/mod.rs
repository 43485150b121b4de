//! A simulation of two pools under maintenance, with faults and its own clock.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod checks;
mod fleet;
mod platform;
mod sim;
mod trace;

pub(crate) use sim::{Fault, Sim};
pub(crate) use trace::replay;
