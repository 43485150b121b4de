//! A target at one address.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cleat_decide::{AttemptOutcome, Candidate, Health};

use super::idle_connections::IdleConnections;
use super::{SlotToken, TargetSlots};
use crate::upstream::Upstream;

/// The state of a target on this entry. It is retained across versions of the
/// routes.
pub(crate) struct Target {
    pub(crate) name: Box<str>,
    pub(crate) address: SocketAddr,
    /// Whether the target is in the data centre of this entry.
    pub(crate) local: bool,
    pub(crate) slots: Arc<TargetSlots>,
    /// Once set, no request is started at this target.
    withdrawn: AtomicBool,
    health: Mutex<Health>,
    idle: IdleConnections,
}

impl Target {
    pub(crate) fn new(
        name: Box<str>,
        address: SocketAddr,
        local: bool,
        slots: Arc<TargetSlots>,
        now: Duration,
    ) -> Target {
        Target {
            name,
            address,
            local,
            slots,
            withdrawn: AtomicBool::new(false),
            health: Mutex::new(Health::new(now)),
            idle: IdleConnections::default(),
        }
    }

    /// The properties that the choice of a target is based on.
    pub(crate) fn candidate(&self, now: Duration) -> Candidate {
        let health = self.health();
        Candidate {
            in_flight: self.slots.in_flight(),
            max_in_flight: self.slots.max_in_flight(),
            latency_us: health.latency_us(now),
            ejected: health.is_ejected(now),
            warm_up_percent: health.warm_up_percent(now),
            local: self.local,
        }
    }

    /// Acquires a slot, unless the target was withdrawn or no slot is free.
    pub(crate) fn acquire(&self) -> Option<SlotToken> {
        if self.withdrawn.load(Ordering::Acquire) {
            return None;
        }
        self.slots.acquire()
    }

    pub(crate) fn release(&self, token: SlotToken) {
        self.slots.release(token);
    }

    /// Records the outcome of an attempt that took `latency`.
    pub(crate) fn record(&self, outcome: AttemptOutcome, latency: Duration, now: Duration) {
        self.health().record(outcome, latency, now);
    }

    /// Takes an idle connection. The holder of a slot always does this before
    /// it opens a connection, so the number of connections never exceeds this
    /// entry's share.
    pub(crate) fn take_idle(&self, now: Duration, max_age: Duration) -> Option<Box<Upstream>> {
        self.idle.take(now, max_age)
    }

    pub(crate) fn put_idle(&self, upstream: Box<Upstream>, now: Duration) {
        self.idle.put(upstream, now, self.slots.connection_share());
    }

    pub(crate) fn close_expired_connections(&self, now: Duration, max_age: Duration) {
        self.idle
            .remove_expired(now, max_age, self.slots.connection_share());
    }

    /// Stops new requests and closes idle connections. Requests in progress
    /// finish.
    pub(crate) fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Release);
        self.idle.set_closed(true);
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
