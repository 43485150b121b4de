//! The operators' command line.
//!
//! Each command is one file under `commands` and one type that implements
//! [`Command`]. A command returns a [`Report`] or a [`CliError`]; only
//! [`run`] prints and chooses the exit code.

mod arguments;
mod client;
mod commands;
mod documents;
mod error;
mod explain;
mod output;
mod run;

pub use arguments::Arguments;
pub use client::{Attempt, Failure};
pub use commands::{Command, CommandEntry, Context, Example, command_table};
pub use documents::{File, LocatedFault};
pub use error::CliError;
pub use output::Report;
pub use run::run;
