//! Problem responses: problem details (RFC 9457) with an outcome.

mod kind;
#[expect(clippy::module_inception)]
mod problem;

pub use kind::ProblemKind;
pub(crate) use problem::Problem;
