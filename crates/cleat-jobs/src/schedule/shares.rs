//! Whose work goes first where there is more than room.
//!
//! The load that this answers: in a turn of demand a pool is full, and a customer
//! that sends far more than its share then fills it alone. A customer's share is
//! stated as jobs a second. What it sends beyond that waits behind what others
//! send within theirs; where there is room it waits for nothing.

use std::collections::VecDeque;
use std::time::Duration;

/// The span in which the jobs of a customer are counted: a share is stated by the
/// second.
const SPAN: Duration = Duration::from_secs(1);

/// How a customer's share decides which of its steps go first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharePolicy {
    /// It does not: what can be in time goes first, whoever sent it.
    DeadlineFirst,
    /// A job counts as beyond its customer's share if that sent as many jobs as
    /// its share within the second before.
    #[default]
    ArrivalRate,
    /// A step counts as beyond its customer's share while that holds more of the
    /// room in use than its part of all shares.
    ResourceUse,
}

/// Whether work is within its customer's share; lower goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    #[default]
    Within,
    Beyond,
}

/// The jobs that a customer sent lately within its share.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sent {
    /// When they came, oldest first.
    times: VecDeque<Duration>,
}

impl Sent {
    /// Takes a job that came at `at`; where it stands. Jobs beyond the share do not
    /// count, so that one who sends on and on keeps what it may count on.
    pub(crate) fn take(&mut self, at: Duration, weight: f64) -> Standing {
        while self.times.front().is_some_and(|first| *first + SPAN <= at) {
            self.times.pop_front();
        }
        #[allow(clippy::cast_precision_loss)]
        let sent = self.times.len() as f64;
        if sent + 1.0 > weight.max(1.0) {
            return Standing::Beyond;
        }
        self.times.push_back(at);
        Standing::Within
    }
}
