//! Errors at the start of a control instance.

use cleat_link::ServeError;
use cleat_log::OpenError;
use cleat_quorum::SpawnError;
use snafu::Snafu;

/// Why a control instance could not start. Nothing was changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The data folder can't be opened; the source says what to correct.
    #[snafu(display("the data folder cannot be used"))]
    DataFolder {
        /// The cause.
        source: OpenError,
    },
    /// The listener for other instances can't be bound.
    #[snafu(display("cannot listen for other instances"))]
    Listen {
        /// The cause.
        source: ServeError,
    },
    /// The replica can't be restored from the content of the data folder.
    #[snafu(display("the replicated state cannot be opened"))]
    Replica {
        /// The cause.
        source: SpawnError,
    },
}
