//! Retries that wait for a slot of another target.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::queued::WaitResult;
use super::{ServiceState, Slot};
use crate::target::Target;

/// The minimum duration to expect of an attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);

/// The queue of waiting retries. Retries are served before the requests that
/// wait for admission, because they were admitted earlier. The retry budget
/// limits their number.
#[derive(Default)]
pub(super) struct RetryQueue {
    waiting: VecDeque<WaitingRetry>,
}

struct WaitingRetry {
    /// The target of the previous attempt, unless the service has no other
    /// target.
    exclude: Option<Arc<Target>>,
    /// An attempt that starts later could not finish before the deadline.
    latest_start: Duration,
    tx: oneshot::Sender<WaitResult>,
}

impl RetryQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the target to exclude for the first retry, or `None` if no retry
    /// is waiting.
    pub(super) fn next_excluded_target(&mut self, now: Duration) -> Option<Option<Arc<Target>>> {
        self.expire(now);
        self.waiting.retain(|retry| !retry.tx.is_closed());
        let first = self.waiting.front()?;
        Some(first.exclude.clone())
    }

    /// Drops retries that can no longer finish before their deadline.
    pub(super) fn expire(&mut self, now: Duration) {
        self.waiting.retain(|retry| now < retry.latest_start);
    }

    pub(super) fn pop_first(&mut self) -> Option<oneshot::Sender<WaitResult>> {
        self.waiting.pop_front().map(|retry| retry.tx)
    }

    /// Drops all retries.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }
}

/// The immediate result of a request for a retry.
enum RetryStart {
    Started(Slot),
    Waiting(oneshot::Receiver<WaitResult>),
    OutOfTime,
}

impl ServiceState {
    /// Waits for a slot for another attempt, on another target than `previous`
    /// or, if the service has no other target, on the same one. Returns `None`
    /// as soon as no attempt could finish before `deadline`. `on_wait` is
    /// called if no slot is available at once.
    pub(crate) async fn retry(
        self: &Arc<Self>,
        previous: &Arc<Target>,
        deadline: Instant,
        on_wait: impl FnOnce(),
    ) -> Option<Slot> {
        match self.begin_retry(previous, deadline) {
            RetryStart::Started(slot) => Some(slot),
            RetryStart::OutOfTime => None,
            RetryStart::Waiting(rx) => {
                on_wait();
                match rx.await {
                    Ok(WaitResult::Start(slot)) => Some(slot),
                    // The sender was dropped, because the retry expired or the
                    // service was closed.
                    _ => None,
                }
            }
        }
    }

    fn begin_retry(self: &Arc<Self>, previous: &Arc<Target>, deadline: Instant) -> RetryStart {
        let now = self.now();
        let mut inner = self.lock();
        let expected = inner.service_time_p10().max(MIN_ATTEMPT_TIME);
        let latest_start = self.to_clock(deadline).saturating_sub(expected);
        if !inner.has_capacity() || now >= latest_start {
            return RetryStart::OutOfTime;
        }
        inner.refresh_candidates(now);
        let exclude = inner.has_alternative(previous).then_some(previous);
        if let Some(acquired) = inner.acquire_slot(exclude) {
            return RetryStart::Started(Slot::new(Arc::clone(self), acquired, now));
        }
        let (tx, rx) = oneshot::channel();
        let retry = WaitingRetry {
            exclude: exclude.cloned(),
            latest_start,
            tx,
        };
        inner.retries().waiting.push_back(retry);
        self.slots().request_slots(inner.slots_needed());
        RetryStart::Waiting(rx)
    }
}
