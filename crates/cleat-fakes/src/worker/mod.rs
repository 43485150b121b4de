//! A worker that runs nothing and says that it does.

mod local;
mod model;

pub use local::LocalWorkers;
pub use model::{ModelRun, ModelWorker};
