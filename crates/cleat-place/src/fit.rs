//! The choice of one worker among those with room.

use crate::size::{Share, Size};

/// How a worker is chosen among those that fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The one whose largest remaining share is smallest. Keeps large blocks
    /// whole and keeps accelerators for the jobs that need them.
    BestFit,
    /// The first in the order of arrival: the baseline.
    FirstFit,
}

impl Policy {
    /// How bad a worker of `capacity` with `left` after the placement is; the
    /// least is chosen, the earlier of equals.
    pub(crate) fn badness(self, left: Size, capacity: Size) -> Share {
        match self {
            Policy::BestFit => left.dominant_share(capacity),
            Policy::FirstFit => 0,
        }
    }
}
