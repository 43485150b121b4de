//! The command line as a whole.

use argh::FromArgs;

use crate::commands::Subcommand;

/// Ask and change a fleet through one of its entry instances.
///
/// Several servers are tried in turn.
#[derive(Debug, FromArgs)]
#[argh(
    error_code(0, "done"),
    error_code(1, "refused"),
    error_code(2, "usage or invalid input"),
    error_code(3, "outcome unknown"),
    error_code(4, "no server reached")
)]
pub struct Arguments {
    /// an instance's address for operators, HOST:PORT; may be repeated
    #[argh(option, from_str_fn(text), arg_name = "host:port")]
    pub(crate) server: Vec<Box<str>>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub(crate) json: bool,
    /// what to do
    #[argh(subcommand)]
    pub(crate) command: Subcommand,
}

/// Reads an argument as text.
pub(crate) fn text(value: &str) -> Result<Box<str>, String> {
    Ok(value.into())
}
