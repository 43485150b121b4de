//! Specifications of submitted jobs.

mod error;
mod spec;

pub use error::JobSpecError;
pub use spec::{JobSpec, MAX_STEPS, Repeat, StepSpec};
