//! The replicated state and how commands change it.

mod answer_cache;
mod apply;
mod budget;
mod config;
mod places;
mod targets;
mod waves;
mod world;

pub use budget::Availability;
pub use config::ConfigRecord;
pub use targets::Target;
pub use world::{RestoreError, World};
