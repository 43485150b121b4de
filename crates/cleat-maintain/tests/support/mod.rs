//! Two pools under maintenance on a clock of their own, with faults.

mod checks;
mod fleet;
mod platform;
mod sim;

pub(crate) use sim::{Fault, Sim};
