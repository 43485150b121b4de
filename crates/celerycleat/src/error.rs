//! Why a command was not done.

use std::path::PathBuf;

use snafu::Snafu;

use crate::client::{Attempt, list_attempts};
use crate::documents::{LocatedFault, list_faults};

/// Why a command was not done. Its text says what, where, and how to mend it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum CliError {
    /// The system gives no event loop. Look at its limits.
    #[snafu(display("error: cannot start: {source}\n  look at the limit of open files"))]
    Start {
        /// What the system answered.
        source: std::io::Error,
    },
    /// The command asks a server and none was named. Name one.
    #[snafu(display(
        "error: this command asks a server, and none is named\n  add --server HOST:PORT before the command"
    ))]
    NoServerNamed,
    /// A file can't be read. Correct its path or its rights.
    #[snafu(display(
        "error: cannot read {}: {source}\n  correct its path or its rights",
        file.display()
    ))]
    ReadFile {
        /// The file.
        file: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// A file is no JSON. Correct it where the text says.
    #[snafu(display(
        "error: {}: $ is not JSON: {source}\n  correct the file there",
        file.display()
    ))]
    ParseFile {
        /// The file.
        file: PathBuf,
        /// Line and column of what is wrong.
        source: serde_json::Error,
    },
    /// The configuration has faults. Correct each as its text says.
    #[snafu(display("{}", list_faults(faults)))]
    InvalidConfig {
        /// Every fault found, at least one.
        faults: Box<[LocatedFault]>,
    },
    /// Another change was accepted first. Look at it, then try again with the
    /// version that won.
    #[snafu(display(
        "error: refused by {server}: version {winner} won{}\n  \
         look at it with 'config show', then apply again with --expect {winner} and a new command id",
        by_command(winner_command_id.as_deref())
    ))]
    Conflict {
        /// The server that answered.
        server: Box<str>,
        /// The version in force.
        winner: u64,
        /// The command that brought it, if it had an id.
        winner_command_id: Option<Box<str>>,
    },
    /// The server did not do it, and nothing was changed. Its detail says why.
    #[snafu(display("error: refused by {server} with {status}: {title}\n  {detail}"))]
    Refused {
        /// The server that answered.
        server: Box<str>,
        /// The status of its answer.
        status: u16,
        /// The kind of problem.
        title: Box<str>,
        /// What is particular to this case.
        detail: Box<str>,
    },
    /// The request itself is not valid for the server. Correct the arguments,
    /// or use the command line of the server's version.
    #[snafu(display("error: {server} found the request invalid ({status}): {title}\n  {detail}"))]
    InvalidRequest {
        /// The server that answered.
        server: Box<str>,
        /// The status of its answer.
        status: u16,
        /// The kind of problem.
        title: Box<str>,
        /// What is particular to this case.
        detail: Box<str>,
    },
    /// The change may or may not have been accepted. Send it again under the
    /// same command id: it gets the first answer and is never applied twice.
    #[snafu(display(
        "error: the outcome is unknown; the change may have been accepted\n{}  \
         to learn it, repeat the command with --command-id {command_id}; it is not applied twice",
        list_attempts(attempts)
    ))]
    OutcomeUnknown {
        /// The id to repeat the command with.
        command_id: Box<str>,
        /// What became of it at each server.
        attempts: Box<[Attempt]>,
    },
    /// No server answered. Check the addresses and that an instance runs.
    #[snafu(display(
        "error: no server was reached\n{}  check the addresses, and that an instance runs there",
        list_attempts(attempts)
    ))]
    NoServerReached {
        /// What became of it at each server.
        attempts: Box<[Attempt]>,
    },
}

impl CliError {
    /// The exit code: 1 refused, 2 usage or invalid input, 3 outcome unknown,
    /// 4 no server reached.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Conflict { .. } | CliError::Refused { .. } => 1,
            CliError::Start { .. }
            | CliError::NoServerNamed
            | CliError::ReadFile { .. }
            | CliError::ParseFile { .. }
            | CliError::InvalidConfig { .. }
            | CliError::InvalidRequest { .. } => 2,
            CliError::OutcomeUnknown { .. } => 3,
            CliError::NoServerReached { .. } => 4,
        }
    }
}

fn by_command(id: Option<&str>) -> String {
    id.map_or_else(String::new, |id| format!(" (command {id})"))
}
