//! What an owner's event loop and its calls cost, for the log.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::Serialize;

/// How often the load is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures an owner's load between two log events. The calls report to it as well as the
/// event loop, and are dropped unfinished when the ownership ends.
#[derive(Debug, Default)]
pub(super) struct LoadMeter {
    pending_orders: AtomicU64,
    orders: AtomicU64,
    max_order_us: AtomicU64,
    max_renewal_start_us: AtomicU64,
    max_turn_us: AtomicU64,
    busy_us: AtomicU64,
    stalls: AtomicU64,
    max_stall_us: AtomicU64,
    logged_at: Mutex<Duration>,
}

/// The load of an owner since the last event of this kind.
#[derive(Debug, Serialize)]
pub(crate) struct OwnerLoad {
    /// The orders to workers that have no answer yet.
    pending_orders: u64,
    /// The orders that were answered or given up.
    orders: u64,
    /// The longest time from the decision on one of these orders to its end.
    max_order_ms: u64,
    /// The longest time from the decision on a renewal until it began to be sent.
    max_renewal_start_ms: u64,
    /// The longest turn of the event loop.
    max_turn_ms: u64,
    /// The sum of the turns of the event loop.
    busy_ms: u64,
    /// The number of stalls of the event loop.
    stalls: u64,
    /// The longest of these stalls.
    max_stall_ms: u64,
    /// The starts without an answer.
    unanswered_starts: usize,
    /// The limit of the starts without an answer.
    start_window: usize,
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl LoadMeter {
    /// Forgets the orders of an earlier ownership, whose calls were dropped.
    pub(super) fn begin_ownership(&self) {
        self.pending_orders.store(0, Relaxed);
    }

    /// Records that the scheduler decided an order.
    pub(super) fn order_decided(&self) {
        self.pending_orders.fetch_add(1, Relaxed);
    }

    /// Records that an order was answered or given up, `took` after it was decided.
    pub(super) fn order_ended(&self, took: Duration) {
        self.pending_orders.fetch_sub(1, Relaxed);
        self.orders.fetch_add(1, Relaxed);
        self.max_order_us.fetch_max(micros(took), Relaxed);
    }

    /// Records that a renewal begins to be sent, `waited` after it was decided.
    pub(super) fn renewal_started(&self, waited: Duration) {
        self.max_renewal_start_us.fetch_max(micros(waited), Relaxed);
    }

    /// Records a turn of the event loop: events, decisions and the start of their calls.
    pub(super) fn turn_ended(&self, took: Duration) {
        self.max_turn_us.fetch_max(micros(took), Relaxed);
        self.busy_us.fetch_add(micros(took), Relaxed);
    }

    /// Records a stall of the event loop: the time in which it did not hear all workers.
    pub(super) fn stalled(&self, lasted: Duration) {
        self.stalls.fetch_add(1, Relaxed);
        self.max_stall_us.fetch_max(micros(lasted), Relaxed);
    }

    /// The load since the last report, if the next one is due. `starts` are the starts without
    /// an answer and their limit.
    pub(super) fn report(&self, now: Duration, starts: (usize, usize)) -> Option<OwnerLoad> {
        let mut logged_at = self
            .logged_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if now < *logged_at + LOG_INTERVAL {
            return None;
        }
        *logged_at = now;
        Some(OwnerLoad {
            pending_orders: self.pending_orders.load(Relaxed),
            orders: self.orders.swap(0, Relaxed),
            max_order_ms: self.max_order_us.swap(0, Relaxed) / 1_000,
            max_renewal_start_ms: self.max_renewal_start_us.swap(0, Relaxed) / 1_000,
            max_turn_ms: self.max_turn_us.swap(0, Relaxed) / 1_000,
            busy_ms: self.busy_us.swap(0, Relaxed) / 1_000,
            stalls: self.stalls.swap(0, Relaxed),
            max_stall_ms: self.max_stall_us.swap(0, Relaxed) / 1_000,
            unanswered_starts: starts.0,
            start_window: starts.1,
        })
    }
}
