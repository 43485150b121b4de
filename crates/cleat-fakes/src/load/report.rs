//! What a load found.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// The highest latency told apart, in nanoseconds.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const NS_PER_US: f64 = 1_000.0;
/// Stands for a missing `Celerycleat-Outcome`.
pub(super) const NO_OUTCOME: &str = "none";

/// Latencies in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LatencySummary {
    /// The median.
    pub p50_us: f64,
    /// 99 of 100 are at most this.
    pub p99_us: f64,
    /// 999 of 1,000 are at most this.
    pub p999_us: f64,
    /// The largest.
    pub max_us: f64,
}

/// The result of a load.
///
/// Invariant: `sent` is `whole + faulty + cut + failed`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Answers that came whole; if they are a target's, they are of the
    /// length asked and belong to the request.
    pub whole: u64,
    /// Whole answers that belong to another request, have another length, or
    /// say `not-run` without `Retry-After`.
    pub faulty: u64,
    /// Answers that broke off in their body.
    pub cut: u64,
    /// Requests without an answer: no connection, broken, or timed out.
    pub failed: u64,
    /// Answers by `Celerycleat-Outcome`, `none` where it is missing.
    pub outcomes: IndexMap<Box<str>, u64>,
    /// Answers by status.
    pub statuses: IndexMap<u16, u64>,
    /// How long it took until the last answer, in seconds.
    pub seconds: f64,
    /// Whole answers a second.
    pub per_second: f64,
    /// Latency of whole answers.
    pub latency: LatencySummary,
}

/// What becomes of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    Whole,
    Faulty,
    Cut,
    Failed,
}

/// Counts of one connection, merged at the end.
#[derive(Debug)]
pub(super) struct Tally {
    sent: u64,
    whole: u64,
    faulty: u64,
    cut: u64,
    failed: u64,
    outcomes: IndexMap<Box<str>, u64>,
    statuses: IndexMap<u16, u64>,
    latency_ns: Option<Histogram<u64>>,
}

impl Tally {
    pub(super) fn new() -> Tally {
        // The bounds are constants that the library accepts.
        let latency_ns = Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS).ok();
        Tally {
            sent: 0,
            whole: 0,
            faulty: 0,
            cut: 0,
            failed: 0,
            outcomes: IndexMap::new(),
            statuses: IndexMap::new(),
            latency_ns,
        }
    }

    pub(super) fn answer(&mut self, outcome: &str, status: u16) {
        match self.outcomes.get_mut(outcome) {
            Some(n) => *n += 1,
            None => {
                self.outcomes.insert(outcome.into(), 1);
            }
        }
        *self.statuses.entry(status).or_default() += 1;
    }

    pub(super) fn verdict(&mut self, verdict: Verdict, latency: Duration) {
        self.sent += 1;
        match verdict {
            Verdict::Whole => {
                self.whole += 1;
                self.record(latency);
            }
            Verdict::Faulty => self.faulty += 1,
            Verdict::Cut => self.cut += 1,
            Verdict::Failed => self.failed += 1,
        }
    }

    pub(super) fn merge(&mut self, other: Tally) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.faulty += other.faulty;
        self.cut += other.cut;
        self.failed += other.failed;
        for (outcome, n) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += n;
        }
        for (status, n) in other.statuses {
            *self.statuses.entry(status).or_default() += n;
        }
        if let (Some(own), Some(other)) = (&mut self.latency_ns, other.latency_ns) {
            // Both have the same bounds, so nothing is out of range.
            let _ = own.add(other);
        }
    }

    pub(super) fn report(self, elapsed: Duration) -> LoadReport {
        let seconds = elapsed.as_secs_f64();
        let latency = self.summary();
        LoadReport {
            sent: self.sent,
            whole: self.whole,
            faulty: self.faulty,
            cut: self.cut,
            failed: self.failed,
            outcomes: self.outcomes,
            statuses: self.statuses,
            seconds,
            per_second: self.whole as f64 / seconds,
            latency,
        }
    }

    fn record(&mut self, latency: Duration) {
        let ns = u64::try_from(latency.as_nanos()).unwrap_or(MAX_LATENCY_NS);
        if let Some(histogram) = &mut self.latency_ns {
            histogram.saturating_record(ns);
        }
    }

    fn summary(&self) -> LatencySummary {
        let at = |quantile: f64| {
            let histogram = self.latency_ns.as_ref();
            histogram.map_or(0.0, |h| h.value_at_quantile(quantile) as f64 / NS_PER_US)
        };
        LatencySummary {
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: at(1.0),
        }
    }
}
