//! Names, terms and messages of slot sharing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The most that two clocks' rates differ, as a part: 1 / 50.
const DRIFT_PART: u32 = 50;

/// An entry, by its position among all configured entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryIndex(pub u32);

/// A target, by its position in the order in which an entry learned of it.
/// Valid at that entry only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u32);

/// One loan of one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantId {
    /// The home of the slot.
    pub lender: EntryIndex,
    /// The lender's life. Invariant: a restarted entry has another one.
    pub incarnation: u64,
    /// The number of the loan in this life.
    pub serial: u64,
}

/// A slot in use by one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[must_use = "a slot that is not given back is lost"]
pub struct Slot {
    /// The target.
    pub target: TargetKey,
    /// The loan, or `None` for a slot at home.
    pub grant: Option<GrantId>,
}

/// How long a loan lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// For how long a borrower may start requests on a slot.
    pub lease: Duration,
    /// The longest that a request may run. Never lowered in a life, see
    /// [`Slots::set_max_request_duration`](crate::Slots::set_max_request_duration).
    pub max_request_duration: Duration,
    /// For how long a borrower keeps a slot that it does not use.
    pub idle_timeout: Duration,
}

impl LeaseTerms {
    /// After this much time on any clock no request of a holder that is cut
    /// off, frozen or dead runs on a lent slot.
    pub fn reclaim_after(&self) -> Duration {
        let whole = self.lease + self.max_request_duration;
        whole + whole / DRIFT_PART
    }
}

/// What entries say to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for slots.
    Request {
        /// The asker's life.
        incarnation: u64,
        /// Rises with each ask in a life; an old or repeated one is ignored.
        serial: u64,
        /// How many slots.
        count: u32,
    },
    /// Answers one ask.
    Grants {
        /// The life that asked.
        incarnation: u64,
        /// The ask's serial.
        request: u64,
        /// The loans, at most as many as asked for.
        grants: Vec<Grant>,
        /// How many more slots the lender could lend.
        idle: u32,
    },
    /// Gives loans back; no request runs on them any more.
    Return {
        /// The loans. Repeating one has no effect.
        grants: Vec<GrantId>,
    },
}

/// One lent slot as the message names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The loan.
    pub id: GrantId,
    /// The target's name.
    pub target: Box<str>,
    /// The longest request for which the lender waits after the lease.
    pub max_request_duration: Duration,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: EntryIndex,
    /// What.
    pub message: Message,
}
