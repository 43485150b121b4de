//! Maintenance waves as they are replicated.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

/// Machines that are to be maintained within a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The machines that have not begun their maintenance.
    pub waiting: IndexSet<Box<str>>,
    /// The machines that have begun it.
    pub maintained: IndexSet<Box<str>>,
    /// The time that the wave may take, in milliseconds.
    pub duration_ms: u64,
    /// How many machines may be down for it at once.
    pub max_at_once: u32,
}

impl Wave {
    /// Whether each machine has begun its maintenance or is gone.
    pub fn is_completed(&self) -> bool {
        self.waiting.is_empty()
    }
}
