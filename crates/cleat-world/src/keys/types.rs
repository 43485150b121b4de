//! A claim and what can come of it.

use serde::{Deserialize, Serialize};

/// One claimed idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// A digest of the request that claimed it.
    pub digest: u64,
    /// When it was claimed, in the state's clock (ms).
    pub claimed_at_ms: u64,
    /// Where it stands.
    pub state: ClaimState,
}

impl Claim {
    /// The bytes of the answer kept with it.
    pub(super) fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Settled(Settlement::Ran(answer)) => answer.size(),
            _ => 0,
        }
    }
}

/// Where a claim stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// An instance may be sending it.
    Pending {
        /// That instance.
        entry: Box<str>,
        /// Its incarnation.
        incarnation: u64,
        /// The claim's number within that incarnation.
        number: u64,
        /// From then on the outcome counts as unknown (ms).
        until_ms: u64,
    },
    /// It came to an end.
    Settled(Settlement),
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It ran and was answered.
    Ran(StoredAnswer),
    /// It ran and was answered; the answer was too large to keep.
    RanAnswerNotKept,
    /// It provably did not run: the key may be claimed anew.
    NotRun,
    /// It may have run. Invariant: never claimed anew while remembered.
    Unknown,
}

/// An answer kept for requests sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// End-to-end headers in order; values are bytes as received.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The whole body.
    pub body: Box<[u8]>,
}

impl StoredAnswer {
    /// The memory it takes, in bytes, without fixed overhead.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}
