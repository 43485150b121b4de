//! Workers within the process of their owner: for trying things out, and for
//! tests. They run nothing and say that they do.

mod client;
mod worker;

pub use client::InProcessWorkers;
pub use worker::{SimulatedRun, SimulatedWorker};
