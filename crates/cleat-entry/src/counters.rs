//! What the request path counts.

use cleat_telemetry::{Counter, Counters as Registry, Gauge};

use crate::headers::Outcome;

/// Handles on the numbers of one entry.
#[derive(Debug)]
pub(crate) struct Counters {
    /// Requests whose head was read.
    pub(crate) requests: Counter,
    /// Answers of targets passed on.
    pub(crate) answered: Counter,
    /// Requests that did not run.
    pub(crate) not_run: Counter,
    /// Requests that may have run.
    pub(crate) unknown: Counter,
    /// Requests that had to wait for a slot.
    pub(crate) waited: Counter,
    /// Tries in all.
    pub(crate) attempts: Counter,
    /// Tries after the first.
    pub(crate) retries: Counter,
    /// Answers too large to hold, passed on as they came.
    pub(crate) streamed: Counter,
    /// Claims of idempotency keys.
    pub(crate) claims: Counter,
    /// Stored answers given again for a key.
    pub(crate) replayed: Counter,
    /// Bytes that answers in flight hold.
    pub(crate) response_bytes: Gauge,
}

impl Counters {
    pub(crate) fn new(registry: &Registry) -> Counters {
        Counters {
            requests: registry.counter("entry.requests"),
            answered: registry.counter("entry.answered"),
            not_run: registry.counter("entry.not_run"),
            unknown: registry.counter("entry.unknown"),
            waited: registry.counter("entry.waited"),
            attempts: registry.counter("entry.tries"),
            retries: registry.counter("entry.retries"),
            streamed: registry.counter("entry.streamed"),
            claims: registry.counter("entry.claims"),
            replayed: registry.counter("entry.replayed"),
            response_bytes: registry.gauge("entry.answer_bytes_held"),
        }
    }

    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.answered.incr(),
            Outcome::NotRun => self.not_run.incr(),
            Outcome::Unknown => self.unknown.incr(),
        }
    }
}
