//! Failures of many workers of a pool at the same moment.
//!
//! Workers that fail together share a cause, such as their power or their network, which is
//! no task on one of them. So such a failure is no evidence against the tasks that ran
//! there, but for those since whose start they had not answered: several crashing tasks may
//! start at once. Tasks that crash their workers may fail several at once as well. So workers that
//! ran an isolated task, or on which a suspect had just started, don't show a common cause.

use std::time::Duration;

use super::Scheduler;
use super::worker::WorkerKey;
use crate::collections::IndexMap;

/// How far apart workers may have stopped answering that failed together.
const FAILURE_WINDOW: Duration = Duration::from_millis(500);
/// The minimum number of workers that fail together by a common cause.
const MIN_FAILURES: usize = 3;
/// They are at least one in this many of the pool.
const WORKERS_PER_FAILURE: usize = 4;
/// For how long a failure is remembered: others of the same moment are known by then.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// When a worker stopped answering.
#[derive(Clone, Debug)]
struct Failure {
    pool: Box<str>,
    at: Duration,
    /// Whether a task ran there that is likely to have caused it.
    has_likely_cause: bool,
}

/// The workers whose runs were lost lately, by name.
#[derive(Debug, Default)]
pub(crate) struct RecentFailures(IndexMap<Box<str>, Failure>);

impl RecentFailures {
    /// Removes failures that were more than [`FAILURE_MEMORY`] ago.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.0
            .retain(|_, failure| now < failure.at + FAILURE_MEMORY);
    }
}

impl Scheduler {
    /// When a worker stopped answering, as far as that is known.
    pub(super) fn failed_at(&self, key: WorkerKey) -> Duration {
        self.workers[key].unanswered_since.unwrap_or(self.now)
    }

    /// Records that the runs of a worker are lost, and returns whether it failed by a cause
    /// that it shares with others.
    pub(super) fn record_failure_of(&mut self, key: WorkerKey) -> bool {
        let failure = self.failure_of(key);
        let name = self.worker_name(key);
        self.recent_failures.0.insert(name, failure);
        self.has_common_cause(key)
    }

    fn failure_of(&self, key: WorkerKey) -> Failure {
        let at = self.failed_at(key);
        Failure {
            pool: self.workers[key].record.pool.clone(),
            at,
            has_likely_cause: self.has_likely_cause(key, at),
        }
    }

    /// Whether so many workers of the pool failed at the same moment that they share a cause.
    fn has_common_cause(&self, key: WorkerKey) -> bool {
        let pool = &self.workers[key].record.pool;
        let at = self.failed_at(key);
        let counts = |failure: &Failure| {
            failure.pool == *pool
                && !failure.has_likely_cause
                && failure.at.abs_diff(at) <= FAILURE_WINDOW
        };
        let recent = &self.recent_failures.0;
        let known = recent.values().filter(|failure| counts(failure)).count();
        let mut answering = 0;
        let mut silent = 0;
        for (other, worker) in self.workers.in_pool(pool) {
            if worker.unanswered_since.is_none() {
                answering += 1;
            } else if !recent.contains_key(&worker.record.name) {
                silent += usize::from(counts(&self.failure_of(other)));
            }
        }
        let failed = known + silent;
        failed >= MIN_FAILURES && failed * WORKERS_PER_FAILURE >= answering + failed
    }
}
