//! Owners, workers and faults on one seeded schedule, and what must hold.

mod check;
mod checks;
mod crashes;
mod faults;
mod jobs;
mod plan;
mod world;

pub(crate) use check::Violation;
pub(crate) use plan::{Fault, Moment, Plan};
pub(crate) use world::run;
