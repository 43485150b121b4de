//! Write-ahead log and snapshots in the data folder.
//!
//! One [`Journal`] owns one folder. What [`Journal::sync`] has acknowledged is
//! found again by [`Journal::open`], or the open fails and says where the
//! folder is damaged.
//!
//! # Files
//! - `identity.json`: format version, owner and a random identity, with a checksum.
//! - `segment-N.log`: frames, each with its length and two checksums (of the length and
//!   of the body), both bound to the segment and the offset. A chain of segments starts
//!   with a base; what came before the base is in the snapshot.
//! - `snapshot`: the newest snapshot.
//! - `*.tmp`: a file that was being written; removed by the next open.
//!
//! # Torn or damaged
//! A crash while writing leaves a file that ends inside its last frame, or in zeros. That
//! end was never acknowledged and is cut. Any other fault is damage and refuses the open,
//! since it may concern acknowledged records. A disk that persists the blocks of one write
//! out of order may therefore refuse to open after a power cut; that is on the safe side.
//!
//! After a failed fsync the system may show pages that are not on the disk, so a new open
//! in the same boot is no proof that they are. Treat that disk as lost.

mod entry;
mod error;
mod file;
mod journal;
mod record;
mod recover;
mod replay;

pub use error::{Damage, OpenError, WriteError};
pub use journal::{Journal, MAX_PAYLOAD_BYTES, SEGMENT_BYTES};
pub use record::{HardState, Record, Recovered, Snapshot};
