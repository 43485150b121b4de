//! Workers within the process of their owner: for trying things out, and for
//! tests. They run nothing and say that they do.

mod model;
mod workers;

pub use model::{ModelRun, ModelWorker};
pub use workers::LocalWorkers;
