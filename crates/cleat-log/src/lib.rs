//! Write-ahead log and snapshots in the data folder.
//!
//! One [`Journal`] owns one folder. What [`Journal::sync`] has acknowledged is
//! found again by [`Journal::open`], or the open fails and says where the
//! folder is damaged.

mod error;
mod journal;
mod record;

pub use error::{Damage, OpenError, WriteError};
pub use journal::{Journal, MAX_PAYLOAD_BYTES};
pub use record::{HardState, Record, Recovered, Snapshot};
