//! Identifiers, settings and messages of slot sharing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The maximum difference between the rates of two clocks, as a fraction: 1 / 50.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// An entry, by its position among all configured entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryIndex(pub u32);

/// A target, by its position in the order in which an entry learned of it.
/// Valid at that entry only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);

/// Identifies the lending of one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The home of the slot.
    pub lender: EntryIndex,
    /// The lender's incarnation. Invariant: an entry has a different one after a
    /// restart.
    pub incarnation: u64,
    /// The number of the grant in this incarnation.
    pub serial: u64,
}

/// A slot in use by one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[must_use = "a slot that is not released is lost"]
pub struct Slot {
    /// The target.
    pub target: TargetKey,
    /// The grant of a borrowed slot; `None` for a slot at home.
    pub grant: Option<GrantId>,
}

/// How long slots are lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a borrower may start requests on a slot.
    pub lease: Duration,
    /// The maximum duration of a request. Never lowered in an incarnation, see
    /// [`Slots::set_max_request_duration`](crate::Slots::set_max_request_duration).
    pub max_request_duration: Duration,
    /// How long a borrower keeps a slot that it does not use.
    pub idle_timeout: Duration,
}

impl LeaseTerms {
    /// The time after which no request runs on a lent slot, measured by any
    /// clock, even if the borrower is unreachable, frozen or dead.
    pub fn reclaim_after(&self) -> Duration {
        let total = self.lease + self.max_request_duration;
        total + total / CLOCK_DRIFT_DIVISOR
    }
}

/// A message between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests slots.
    Request {
        /// The requester's incarnation.
        incarnation: u64,
        /// Increases with each slot request of an incarnation. An old or repeated one
        /// is ignored.
        serial: u64,
        /// How many slots are requested.
        count: u32,
    },
    /// Answers one slot request.
    Grants {
        /// The requester's incarnation.
        incarnation: u64,
        /// The serial of the slot request.
        request: u64,
        /// The granted slots, at most as many as requested.
        grants: Vec<Grant>,
        /// How many more slots the lender could lend.
        idle: u32,
    },
    /// Returns borrowed slots on which no request runs any more.
    Return {
        /// The grants that end. Returning one again has no effect.
        grants: Vec<GrantId>,
    },
}

/// One lent slot, as [`Message::Grants`] describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The identifier of the grant.
    pub id: GrantId,
    /// The target's name.
    pub target: Box<str>,
    /// The maximum duration of a request for which the lender waits after the
    /// lease.
    pub max_request_duration: Duration,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The recipient.
    pub to: EntryIndex,
    /// The message.
    pub message: Message,
}
