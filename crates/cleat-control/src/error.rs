//! Why a control instance can't start.

use cleat_link::ServeError;
use cleat_log::OpenError;
use cleat_quorum::SpawnError;
use snafu::Snafu;

/// Why a control instance or a gateway can't start. Nothing was changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The data folder can't be used; the source says how to mend it.
    #[snafu(display("the data folder cannot be used"))]
    DataFolder {
        /// Why.
        source: OpenError,
    },
    /// The listener for other instances can't be had.
    #[snafu(display("cannot listen for other instances"))]
    Listen {
        /// Why.
        source: ServeError,
    },
    /// The replica can't start from what the data folder holds.
    #[snafu(display("the replicated state cannot be opened"))]
    Replica {
        /// Why.
        source: SpawnError,
    },
}
