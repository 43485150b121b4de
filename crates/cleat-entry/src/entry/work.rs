//! Counts the work that a draining entry has to wait for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// The work in progress: the listener, connections and requests.
#[derive(Debug, Default)]
pub(super) struct WorkTracker {
    count: AtomicUsize,
    ended: Notify,
}

impl WorkTracker {
    pub(super) fn begin(self: &Arc<Self>) -> WorkToken {
        self.count.fetch_add(1, Ordering::AcqRel);
        WorkToken(Arc::clone(self))
    }

    /// Waits until no work is in progress.
    pub(super) async fn wait_until_idle(&self) {
        loop {
            let ended = self.ended.notified();
            if self.count.load(Ordering::Acquire) == 0 {
                return;
            }
            ended.await;
        }
    }
}

/// Counts as work in progress until dropped.
#[derive(Debug)]
pub(crate) struct WorkToken(Arc<WorkTracker>);

impl Drop for WorkToken {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.ended.notify_waiters();
        }
    }
}
