//! Replicated maintenance waves.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// A set of machines to be maintained within a given time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The machines whose maintenance has not started.
    pub waiting: IndexSet<Box<str>>,
    /// The machines whose maintenance has started.
    pub maintained: IndexSet<Box<str>>,
    /// The time within which the wave must complete, in milliseconds.
    pub duration_ms: u64,
    /// The maximum number of machines that may be down for the wave at the same time.
    pub max_at_once: u32,
}

impl Wave {
    /// Whether the maintenance of every machine has started, apart from machines that
    /// were removed.
    pub fn is_completed(&self) -> bool {
        self.waiting.is_empty()
    }
}
