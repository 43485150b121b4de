//! Claims of idempotency keys and their outcomes.

use serde::{Deserialize, Serialize};

/// The claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The digest of the claiming request.
    pub digest: u64,
    /// The time of the claim on the clock of the state, in ms.
    pub claimed_at_ms: u64,
    /// The state of the claim.
    pub state: ClaimState,
}

impl Claim {
    /// Returns the size of the stored answer, in bytes.
    pub(super) fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Settled(Settlement::Ran(answer)) => answer.size(),
            _ => 0,
        }
    }
}

/// The state of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// An entry instance may be sending the request.
    Pending {
        /// The entry instance that holds the claim.
        entry: Box<str>,
        /// The incarnation of the entry instance.
        incarnation: u64,
        /// The number of the claim, unique in the incarnation.
        number: u64,
        /// The time from which the outcome counts as unknown, in ms.
        until_ms: u64,
    },
    /// The outcome is recorded.
    Settled(Settlement),
}

/// The outcome of a request under a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request ran and was answered.
    Ran(StoredAnswer),
    /// The request ran and was answered. The answer was too large to store or was
    /// evicted.
    RanAnswerNotKept,
    /// The request provably did not run. The key may be claimed again.
    NotRun,
    /// The request may have run. Invariant: the key is never claimed again while it is
    /// stored.
    Unknown,
}

/// An answer that is stored for repeated requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// The end-to-end headers in their order, with the values as received.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The complete body.
    pub body: Box<[u8]>,
}

impl StoredAnswer {
    /// Returns the size of the headers and the body, in bytes, without fixed overhead.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len()
    }
}
