//! What a stand-in target has seen.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How long after it left a target may still get new requests.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// The counts of a target at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// Requests whose head arrived.
    pub received: u64,
    /// Requests in progress now.
    pub in_progress: u64,
    /// The most requests in progress at once.
    pub most_in_progress: u64,
    /// Connections open now.
    pub connections: u64,
    /// The most connections open at once.
    pub most_connections: u64,
    /// Requests that arrived more than 2 s after the target had left.
    pub after_leave: u64,
    /// Request ids seen, if they are recorded.
    pub distinct: u64,
    /// Request ids that ran more than once, if they are recorded.
    pub repeated: u64,
}

/// Counters shared by the connections of one target.
#[derive(Debug, Default)]
pub(super) struct Counters {
    received: AtomicU64,
    requests: Level,
    connections: Level,
    after_leave: AtomicU64,
    left_at: Mutex<Option<Instant>>,
    runs: Mutex<IndexMap<Box<str>, u64>>,
}

impl Counters {
    pub(super) fn begin_request(self: &Arc<Self>, id: Option<&str>) -> RequestGuard {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.requests.rise();
        if let Some(id) = id {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(id.into()).or_default() += 1;
        }
        if self.has_left_for_long() {
            self.after_leave.fetch_add(1, Ordering::Relaxed);
        }
        RequestGuard(Arc::clone(self))
    }

    pub(super) fn begin_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.rise();
        ConnectionGuard(Arc::clone(self))
    }

    pub(super) fn leave(&self) {
        let mut left_at = self.left_at.lock().unwrap_or_else(PoisonError::into_inner);
        left_at.get_or_insert_with(Instant::now);
    }

    pub(super) fn runs(&self, id: &str) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(id).copied().unwrap_or(0)
    }

    pub(super) fn counts(&self) -> TargetCounts {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        TargetCounts {
            received: self.received.load(Ordering::Relaxed),
            in_progress: self.requests.now.load(Ordering::Relaxed),
            most_in_progress: self.requests.most.load(Ordering::Relaxed),
            connections: self.connections.now.load(Ordering::Relaxed),
            most_connections: self.connections.most.load(Ordering::Relaxed),
            after_leave: self.after_leave.load(Ordering::Relaxed),
            distinct: runs.len() as u64,
            repeated: runs.values().filter(|runs| **runs > 1).count() as u64,
        }
    }

    fn has_left_for_long(&self) -> bool {
        let left_at = self.left_at.lock().unwrap_or_else(PoisonError::into_inner);
        left_at.is_some_and(|at| at.elapsed() > LEAVE_GRACE)
    }
}

/// A number that rises and falls, with its maximum.
#[derive(Debug, Default)]
struct Level {
    now: AtomicU64,
    most: AtomicU64,
}

impl Level {
    fn rise(&self) {
        let now = self.now.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(now, Ordering::Relaxed);
    }

    fn fall(&self) {
        self.now.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard(Arc<Counters>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.fall();
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard(Arc<Counters>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fall();
    }
}
