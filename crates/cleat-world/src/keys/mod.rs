//! Idempotency keys: claimed in the replicated log before the first send.

mod table;
mod types;

pub use table::KeyTable;
pub use types::{Claim, ClaimState, Settlement, StoredAnswer};
