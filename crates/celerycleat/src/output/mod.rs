//! What a command prints.

mod report;
mod table;

pub use report::Report;
pub(crate) use report::pretty;
pub(crate) use table::Table;
