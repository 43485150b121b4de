//! The state of a service, shared by its requests.
//!
//! A slot is the right to have one request in progress at a target. The entries
//! divide the slots of each target among themselves and lend them to one another.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cleat_decide::{AttemptContext, AttemptOutcome, Message, RetryDecision, Ticket, decide_retry};
use cleat_world::Service;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};

use super::Slot;
use super::inner::Inner;
use super::slot::PendingRelease;
use crate::target::{ServiceSlots, Target};

/// The time allowed for a target to detect that a connection was closed or that
/// the deadline has passed. The slot of the attempt stays in use until then.
pub(crate) const CLOSE_GRACE: Duration = Duration::from_millis(100);

/// Passed to [`Inner::assign_slots`] if no request was served, so that there is
/// no service time to record.
const NO_SAMPLE: Option<Duration> = None;

/// The state of one service on this entry. It is retained when a new
/// configuration or set of targets replaces the routes.
pub(crate) struct ServiceState {
    /// The zero point of the clock used for decisions.
    epoch: Instant,
    /// The number of the next ticket, which identifies a waiting request.
    next_ticket: AtomicU64,
    slots: Arc<ServiceSlots>,
    /// Locked for decisions only, never during I/O.
    inner: Mutex<Inner>,
}

impl ServiceState {
    /// Creates the state. `seed` is that of the random numbers for admission,
    /// the retry budget and the choice of targets.
    pub(crate) fn new(
        config: &Service,
        slots: Arc<ServiceSlots>,
        seed: u64,
        epoch: Instant,
    ) -> ServiceState {
        ServiceState {
            epoch,
            next_ticket: AtomicU64::new(0),
            slots,
            inner: Mutex::new(Inner::new(config, seed)),
        }
    }

    /// The slots of the targets, which are shared with the other entries.
    pub(super) fn slots(&self) -> &ServiceSlots {
        &self.slots
    }

    /// Handles a message from the entry `from` about slots.
    pub(crate) fn handle_slot_message(self: &Arc<Self>, from: &str, message: Message) {
        self.slots.handle_message(from, message);
        let now = self.now();
        let mut inner = self.lock();
        inner.assign_slots(self, NO_SAMPLE, now);
        self.slots.request_slots(inner.slots_needed());
    }

    /// Returns borrowed slots that are idle. The result says whether the entry
    /// still has borrowed slots.
    pub(crate) fn return_idle_slots(&self) -> bool {
        self.slots.return_idle()
    }

    /// The current time on the clock used for decisions.
    pub(crate) fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Converts `instant` to the clock used for decisions.
    pub(super) fn to_clock(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.epoch)
    }

    pub(super) fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Replaces the configuration and the targets. After the call, no new
    /// request uses the previous ones.
    pub(crate) fn update(self: &Arc<Self>, config: &Service, targets: Vec<Arc<Target>>) {
        let now = self.now();
        let mut inner = self.lock();
        inner.set_config(config);
        inner.set_targets(targets);
        if !inner.has_capacity() {
            inner.refuse_waiting(now);
        }
        inner.assign_slots(self, NO_SAMPLE, now);
    }

    /// Refuses all waiting requests and all later ones.
    pub(crate) fn close(&self) {
        let now = self.now();
        let mut inner = self.lock();
        inner.set_targets(Vec::new());
        inner.refuse_waiting(now);
    }

    /// Closes connections to targets that were idle for too long.
    pub(crate) fn close_expired_connections(&self, max_age: Duration) {
        let now = self.now();
        let targets = self.lock().targets();
        for target in targets {
            target.close_expired_connections(now, max_age);
        }
    }

    /// Refuses requests that can no longer finish in time and assigns slots
    /// that became usable, for example when the ejection of a target ended. The
    /// result says whether any request is still waiting.
    pub(crate) fn check_queue(self: &Arc<Self>) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        if !inner.has_waiting() {
            return false;
        }
        inner.expire(now);
        inner.assign_slots(self, NO_SAMPLE, now);
        self.slots.request_slots(inner.slots_needed());
        inner.has_waiting()
    }

    /// Records the outcome of an attempt, releases its slot and decides whether
    /// to retry.
    pub(crate) fn finish_attempt(
        self: &Arc<Self>,
        mut slot: Slot,
        outcome: AttemptOutcome,
        mut context: AttemptContext,
    ) -> RetryDecision {
        let now = self.now();
        let latency = slot.held_for(now);
        let pending = slot.detach(now);
        pending.record(outcome, latency, now);
        let sample = outcome.is_success().then_some(latency);
        let pending = self.defer_release(pending);
        let mut inner = self.lock();
        if let Some(pending) = pending {
            pending.release();
        }
        // The shortest time that another attempt is likely to take: with less time
        // left, none is started.
        context.expected_duration = inner.service_time_p10();
        let decision = decide_retry(&outcome, context, inner.budget());
        inner.assign_slots(self, sample, now);
        decision
    }

    /// Releases a slot without recording an outcome.
    pub(super) fn release_without_outcome(self: &Arc<Self>, pending: PendingRelease) {
        let Some(pending) = self.defer_release(pending) else {
            return;
        };
        let now = self.now();
        let mut inner = self.lock();
        pending.release();
        inner.assign_slots(self, NO_SAMPLE, now);
    }

    /// If the target may still be working on the request, releases the slot
    /// after the grace period and returns `None`. Otherwise returns the slot,
    /// which must then be released at once.
    fn defer_release(self: &Arc<Self>, mut pending: PendingRelease) -> Option<PendingRelease> {
        if !pending.take_grace_period() {
            return Some(pending);
        }
        // Without a runtime, the process is ending, and nothing could wait.
        let Ok(runtime) = Handle::try_current() else {
            return Some(pending);
        };
        let service = Arc::clone(self);
        runtime.spawn(async move {
            sleep(CLOSE_GRACE).await;
            service.release_without_outcome(pending);
        });
        None
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
