//! The files of a data folder, each in its format.

mod disk;
mod frame;
mod identity;
mod segment;
mod snapshot;

pub(crate) use disk::{Fault, Listing, lock, make_folder, open_append, read, remove, replace};
pub(crate) use frame::{Frames, Step, push};
pub(crate) use identity::{Identity, read_identity, write_identity};
pub(crate) use segment::{Header, name as segment_name, start as start_segment};
pub(crate) use snapshot::{decode as decode_snapshot, encode_head as encode_snapshot_head};

/// The version of the whole folder's format.
pub(crate) const FORMAT: u64 = 1;
/// The snapshot's file name.
pub(crate) const SNAPSHOT: &str = "snapshot";
/// The identity's file name.
pub(crate) const IDENTITY: &str = "identity.json";
