//! The fleet configuration: what operators write, checked and typed.

mod defaults;
mod maintenance;
mod merge;
mod parse;
mod types;

pub use defaults::default_config_text;
pub use merge::{diff, merge};
pub use types::{
    CallerTerms, DataCentre, FleetConfig, Instance, KeyTerms, MaintenanceTerms, Pool, Queue, Quota,
    Retry, Service,
};
