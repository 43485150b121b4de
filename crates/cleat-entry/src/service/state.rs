//! The shared handle of a service's state.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cleat_decide::{AttemptContext, AttemptOutcome, Message, RetryDecision, Ticket, decide_retry};
use cleat_world::Service;
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};

use super::Slot;
use super::inner::Inner;
use super::slot::Released;
use crate::target::{ServiceSlots, Target};

/// How long a target may take to notice that a connection was closed or its
/// deadline came. Until then its slot is in use.
pub(crate) const CLOSE_GRACE: Duration = Duration::from_millis(100);

/// One service as this entry serves it, kept from one version of the routes
/// to the next.
pub(crate) struct ServiceState {
    /// The zero of the decisions' clock.
    epoch: Instant,
    tickets: AtomicU64,
    slots: Arc<ServiceSlots>,
    /// Held for decisions only, never across I/O.
    inner: Mutex<Inner>,
}

impl ServiceState {
    pub(crate) fn new(
        terms: &Service,
        slots: Arc<ServiceSlots>,
        seed: u64,
        epoch: Instant,
    ) -> ServiceState {
        ServiceState {
            epoch,
            tickets: AtomicU64::new(0),
            slots,
            inner: Mutex::new(Inner::new(terms, seed)),
        }
    }

    /// The slots of the targets, shared with the other entries.
    pub(super) fn slots(&self) -> &ServiceSlots {
        &self.slots
    }

    /// Handles a message about slots of the entry `from`.
    pub(crate) fn receive_slots(self: &Arc<Self>, from: &str, message: Message) {
        self.slots.receive(from, message);
        let now = self.now();
        let mut inner = self.lock();
        inner.fill(self, None, now);
        self.slots.want(inner.missing());
    }

    /// Gives back slots on loan that are not used. Says whether any is left.
    pub(crate) fn tick_slots(&self) -> bool {
        self.slots.tick()
    }

    /// The time on the decisions' clock.
    pub(crate) fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// A moment on the decisions' clock.
    pub(super) fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.epoch)
    }

    pub(super) fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Takes over new terms and targets. When this returns, nothing new goes
    /// by the old ones.
    pub(crate) fn update(self: &Arc<Self>, terms: &Service, targets: Vec<Arc<Target>>) {
        let now = self.now();
        let mut inner = self.lock();
        inner.set_terms(terms);
        inner.set_targets(targets);
        if !inner.has_capacity() {
            inner.refuse_waiting(now);
        }
        inner.fill(self, None, now);
    }

    /// Refuses what waits, now and from now on.
    pub(crate) fn close(&self) {
        let now = self.now();
        let mut inner = self.lock();
        inner.set_targets(Vec::new());
        inner.refuse_waiting(now);
    }

    /// Closes connections to targets that were unused for too long.
    pub(crate) fn sweep(&self, age_max: Duration) {
        let now = self.now();
        let targets = self.lock().targets();
        for target in targets {
            target.sweep(now, age_max);
        }
    }

    /// Refuses what can no longer finish in time and fills slots that became
    /// usable, as when an ejection ended. Says whether anything still waits.
    pub(crate) fn tick(self: &Arc<Self>) -> bool {
        let now = self.now();
        let mut inner = self.lock();
        if !inner.is_waiting() {
            return false;
        }
        inner.expire(now);
        inner.fill(self, None, now);
        self.slots.want(inner.missing());
        inner.is_waiting()
    }

    /// Accounts a try, gives back its slot, and says what follows.
    pub(crate) fn conclude(
        self: &Arc<Self>,
        mut slot: Slot,
        outcome: AttemptOutcome,
        mut facts: AttemptContext,
    ) -> RetryDecision {
        let now = self.now();
        let latency = slot.age(now);
        let target = slot.disarm(now);
        target.record(outcome, latency, now);
        let sample = outcome.is_success().then_some(latency);
        let target = self.linger(target);
        let mut inner = self.lock();
        if let Some(target) = target {
            target.release();
        }
        facts.expected_duration = inner.service_time_p10();
        let verdict = decide_retry(&outcome, facts, inner.budget());
        inner.fill(self, sample, now);
        verdict
    }

    /// A slot was given back without an outcome.
    pub(super) fn freed(self: &Arc<Self>, target: Released) {
        let Some(target) = self.linger(target) else {
            return;
        };
        let now = self.now();
        let mut inner = self.lock();
        target.release();
        inner.fill(self, None, now);
    }

    /// Keeps a slot whose target may still work until it must have noticed
    /// that it is to stop; gives any other slot back to the caller.
    fn linger(self: &Arc<Self>, mut target: Released) -> Option<Released> {
        if !target.take_lingering() {
            return Some(target);
        }
        let Ok(runtime) = Handle::try_current() else {
            return Some(target);
        };
        let service = Arc::clone(self);
        runtime.spawn(async move {
            sleep(CLOSE_GRACE).await;
            service.freed(target);
        });
        None
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
