//! Why settings were not taken.

use std::fmt::Write;
use std::io;
use std::path::PathBuf;

use cleat_json::Fault;
use snafu::Snafu;

/// Why settings were not taken. The text names the file and says how to mend it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum SettingsError {
    /// The file can't be read. Correct the path or the permissions.
    #[snafu(display("{}: can't be read: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's answer.
        source: io::Error,
    },
    /// The text is not JSON. Correct it at the place named.
    #[snafu(display("{}: line {line}, column {column}: is not JSON: {source}", file.display()))]
    Syntax {
        /// The file, or `settings` for a text without one.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The settings of a control instance or a gateway can't be read. Correct
    /// them at the place named.
    #[snafu(display("{}: line {line}, column {column}: {source}", file.display()))]
    Role {
        /// The file, or `settings` for a text without one.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The document is JSON but no valid settings. Correct every value listed.
    #[snafu(display("{}", list(file, faults)))]
    Invalid {
        /// The file, or `settings` for a text without one.
        file: PathBuf,
        /// Every fault found, at least one.
        faults: Box<[Fault]>,
    },
}

/// One fault a line, each with the file.
fn list(file: &std::path::Path, faults: &[Fault]) -> String {
    let mut text = String::new();
    for (i, fault) in faults.iter().enumerate() {
        let separator = if i == 0 { "" } else { "\n" };
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{}: {fault}", file.display());
    }
    text
}
