//! Slots of targets shared between entries by demand.
//!
//! Each slot has a home, the entry that [`slot_share`](crate::slot_share) gives it to. A
//! home lends idle slots to entries that ask, one grant a slot, for a lease.
//! The cap of a target holds because a slot is with its home or lent, never
//! both: a home takes a lent slot back when the borrower returns it, or when
//! the lease and the longest request have passed by any clock.

mod held;
mod peers;
mod sharing;
mod types;

pub use sharing::Slots;
pub use types::{EntryIndex, Grant, GrantId, LeaseTerms, Message, Outgoing, Slot, TargetKey};
