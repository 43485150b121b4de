//! Sharing the slots of targets between entries by demand.
//!
//! Each slot has a home: the entry that it belongs to by
//! [`slot_share`](crate::slot_share). The home lends its idle slots to entries
//! that send it a slot request, with one grant per slot and for the duration of a
//! lease. Without the word "slot", a request is one of a customer, which runs at a
//! target.
//! A target never gets more requests than it has slots, because a slot is either
//! at home or lent, never both. The home reclaims a lent slot when the borrower
//! returns it, or once the lease plus the maximum duration of a request have
//! passed, with a margin for clock drift.

mod peers;
mod sharing;
mod target_slots;
mod types;

pub use sharing::Slots;
pub use types::{EntryIndex, Grant, GrantId, LeaseTerms, Message, Outgoing, Slot, TargetKey};
