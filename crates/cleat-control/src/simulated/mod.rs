//! Simulated workers within the owner's process, for development and tests. They
//! report runs, but execute nothing.

mod client;
mod worker;

pub use client::InProcessWorkers;
pub use worker::{SimulatedRun, SimulatedWorker};
