//! What an owner's event loop and its calls cost, for the log.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cleat_telemetry::Counters;
use serde::Serialize;

mod time_used;

pub(super) use time_used::TimeUsed;

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
    started_orders: AtomicU64,
    order_waits_us: AtomicU64,
    max_order_wait_us: AtomicU64,
    unsent_orders: AtomicU64,
    renewals: AtomicU64,
    last: Mutex<LastReport>,
}

/// What the next report is compared with.
#[derive(Clone, Copy, Debug, Default)]
struct LastReport {
    at: Duration,
    time_used: TimeUsed,
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
    /// The time since the last event of this kind, or since the ownership began.
    interval_ms: u64,
    /// The processor time that the process used in the interval, of all threads.
    process_cpu_ms: u64,
    /// The time in the interval in which a thread of the runtime was not parked, which includes
    /// the time in which it had work and got no processor. One thread: near `interval_ms` means
    /// saturated. A poll that lasts at the time of the event is counted in the next one.
    unparked_ms: u64,
    /// The longest time from the decision on an order until its call was first polled.
    max_order_wait_ms: u64,
    /// The mean of these times.
    mean_order_wait_ms: u64,
    /// The orders that were given up before they were sent.
    unsent_orders: u64,
    /// The renewals that began.
    renewals: u64,
}

impl OwnerLoad {
    /// Sets the gauges and adds to the counters that show this load.
    pub(super) fn publish(&self, counters: &Counters) {
        set_gauges(
            counters,
            [
                self.process_cpu_ms,
                self.unparked_ms,
                self.mean_order_wait_ms,
            ],
        );
        counters.counter("orders.unsent").add(self.unsent_orders);
        counters.counter("renewals.started").add(self.renewals);
    }
}

/// Sets the gauges to 0, as this instance is no longer the owner.
pub(super) fn clear_gauges(counters: &Counters) {
    set_gauges(counters, [0; 3]);
}

fn set_gauges(counters: &Counters, values: [u64; 3]) {
    let names = [
        "owner.process_cpu_ms",
        "owner.unparked_ms",
        "owner.order_wait_ms",
    ];
    for (name, value) in names.into_iter().zip(values) {
        counters.gauge(name).set(value);
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl LoadMeter {
    /// Forgets the orders of an earlier ownership, whose calls were dropped, and the time used
    /// before this one.
    pub(super) fn begin_ownership(&self, now: Duration, time_used: TimeUsed) {
        self.pending_orders.store(0, Relaxed);
        *self.last() = LastReport { at: now, time_used };
    }

    fn last(&self) -> MutexGuard<'_, LastReport> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the scheduler decided an order.
    pub(super) fn order_decided(&self) {
        self.pending_orders.fetch_add(1, Relaxed);
    }

    /// Records that the call of an order was first polled, `waited` after it was decided.
    pub(super) fn order_started(&self, waited: Duration) {
        self.started_orders.fetch_add(1, Relaxed);
        self.order_waits_us.fetch_add(micros(waited), Relaxed);
        self.max_order_wait_us.fetch_max(micros(waited), Relaxed);
    }

    /// Records that an order was given up before it was sent.
    pub(super) fn order_not_sent(&self) {
        self.unsent_orders.fetch_add(1, Relaxed);
    }

    /// Records that an order was answered or given up, `took` after it was decided.
    pub(super) fn order_ended(&self, took: Duration) {
        self.pending_orders.fetch_sub(1, Relaxed);
        self.orders.fetch_add(1, Relaxed);
        self.max_order_us.fetch_max(micros(took), Relaxed);
    }

    /// Records that a renewal begins to be sent, `waited` after it was decided.
    pub(super) fn renewal_started(&self, waited: Duration) {
        self.renewals.fetch_add(1, Relaxed);
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
    /// an answer and their limit. `read` is called only for a report, as it asks the system.
    pub(super) fn report(
        &self,
        now: Duration,
        starts: (usize, usize),
        read: impl FnOnce() -> TimeUsed,
    ) -> Option<OwnerLoad> {
        let mut last = self.last();
        let interval = now.saturating_sub(last.at);
        if interval < LOG_INTERVAL {
            return None;
        }
        let time_used = read();
        let used = time_used.since(last.time_used);
        *last = LastReport { at: now, time_used };
        let started_orders = self.started_orders.swap(0, Relaxed);
        let order_waits_us = self.order_waits_us.swap(0, Relaxed);
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
            interval_ms: micros(interval) / 1_000,
            process_cpu_ms: micros(used.process_cpu) / 1_000,
            unparked_ms: micros(used.unparked) / 1_000,
            max_order_wait_ms: self.max_order_wait_us.swap(0, Relaxed) / 1_000,
            mean_order_wait_ms: order_waits_us / started_orders.max(1) / 1_000,
            unsent_orders: self.unsent_orders.swap(0, Relaxed),
            renewals: self.renewals.swap(0, Relaxed),
        })
    }
}

#[cfg(test)]
mod tests;
