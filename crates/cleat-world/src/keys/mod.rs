//! Idempotency keys, which are claimed in the replicated log before a request is first
//! sent to a target.

mod table;
mod types;

pub use table::KeyTable;
pub use types::{Claim, ClaimState, Settlement, StoredAnswer};
