//! The metrics of the request path.

use cleat_http::InboundCounts;
use cleat_telemetry::{Counter, Counters as Registry, Gauge};

use crate::headers::Outcome;

/// Handles to the metrics of one entry.
#[derive(Debug)]
pub(crate) struct Counters {
    /// Requests whose head was read.
    pub(crate) requests: Counter,
    /// Responses of targets that were forwarded.
    pub(crate) answered: Counter,
    /// Requests that did not run.
    pub(crate) not_run: Counter,
    /// Requests that may have run.
    pub(crate) unknown: Counter,
    /// Requests that had to wait for a slot.
    pub(crate) waited: Counter,
    /// All attempts.
    pub(crate) attempts: Counter,
    /// Attempts after the first one of a request.
    pub(crate) retries: Counter,
    /// Responses that were streamed, because they were too large to buffer.
    pub(crate) streamed: Counter,
    /// Claims of idempotency keys.
    pub(crate) claims: Counter,
    /// Stored responses replayed for an idempotency key.
    pub(crate) replayed: Counter,
    /// Bytes occupied by buffered responses.
    pub(crate) response_bytes: Gauge,
    /// For the gauges of inbound connections.
    registry: Registry,
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
            registry: registry.clone(),
        }
    }

    /// Sets the gauges of inbound connections.
    pub(crate) fn set_inbound(&self, counts: &InboundCounts) {
        for (name, value) in counts.named() {
            self.registry.gauge(name).set(value);
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
