//! Fair sharing between customers: whose jobs are scheduled first when capacity
//! is short.
//!
//! During a demand peak a pool is full, and a customer that sends far more than
//! its share would fill it alone. A customer's share is given in jobs a second.
//! Jobs that exceed the share are scheduled after the jobs that other customers
//! submit within theirs, but only while capacity is short.

use std::collections::VecDeque;
use std::time::Duration;

/// The window in which the jobs of a customer are counted, since a share is
/// given in jobs a second.
const SHARE_WINDOW: Duration = Duration::from_secs(1);

/// How customers' shares affect the order of steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharePolicy {
    /// They have no effect: steps that can meet their objective are scheduled
    /// first, whichever customer submitted them.
    DeadlineFirst,
    /// A job exceeds its customer's share if the customer had sent as many jobs
    /// as its share within the second before.
    #[default]
    ArrivalRate,
    /// A step exceeds its customer's share while the customer uses a larger
    /// part of the resources in use than its part of the sum of all shares.
    ResourceUse,
}

/// Whether work is within its customer's share; the lower value is scheduled
/// first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShareStatus {
    #[default]
    Within,
    Exceeded,
}

/// The jobs that a customer sent within its share during the last second.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentJobs {
    /// Their arrival times, oldest first.
    times: VecDeque<Duration>,
}

impl RecentJobs {
    /// Records a job that arrived at `at` and returns whether it is within the
    /// share of `weight` jobs a second. Jobs beyond the share are not counted,
    /// so a customer that constantly submits too many jobs still gets its
    /// share.
    pub(crate) fn admit(&mut self, at: Duration, weight: f64) -> ShareStatus {
        let status = self.next_status(at, weight);
        if status == ShareStatus::Within {
            self.times.push_back(at);
        }
        status
    }

    /// Whether a job that arrives at `at` would be within the share. Does not record
    /// it.
    pub(crate) fn next_status(&mut self, at: Duration, weight: f64) -> ShareStatus {
        while self
            .times
            .front()
            .is_some_and(|first| *first + SHARE_WINDOW <= at)
        {
            self.times.pop_front();
        }
        #[allow(clippy::cast_precision_loss)]
        let sent = self.times.len() as f64;
        if sent + 1.0 > weight.max(1.0) {
            ShareStatus::Exceeded
        } else {
            ShareStatus::Within
        }
    }
}
