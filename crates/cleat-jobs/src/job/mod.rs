//! What a submitted job asks for.

mod error;
mod spec;

pub use error::JobSpecError;
pub use spec::{JobSpec, Repeat, StepSpec};
