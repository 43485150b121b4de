//! The replicated state and how commands change it.

mod apply;
mod config;
mod targets;
mod world;

pub use config::ConfigRecord;
pub use targets::Target;
pub use world::{RestoreError, World};
