//! Owners, workers and faults on one seeded schedule, and what must hold.

mod checks;
mod crashes;
mod faults;
mod jobs;
mod plan;
mod violation;
mod world;

pub(crate) use plan::{Fault, JobStage, Plan};
pub(crate) use violation::Violation;
pub(crate) use world::run;
