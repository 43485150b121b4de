//! The daemon's commands: run an instance, check its settings, try it out.

mod args;
mod check;
mod dev;
mod dev_jobs;
mod dev_target;
mod error;
mod http_json;
mod roles;
mod run;

pub use args::Args;
pub use error::{DaemonError, EXIT_INVALID};
pub use run::main;
