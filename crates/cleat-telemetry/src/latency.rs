//! Histograms of durations.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// The longest duration told apart, in microseconds: a minute.
const LONGEST_US: u64 = 60_000_000;
/// Two significant digits: a value errs by 1% at most.
const DIGITS: u8 = 2;
/// The quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// The registry of histograms. A clone is another handle on the same ones.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    table: Arc<ArcSwap<Table>>,
}

type Table = IndexMap<Box<str>, Latency>;

/// One histogram. A clone records in the same one.
#[derive(Debug, Clone)]
pub struct Latency {
    /// Recording is short, so the lock is hardly ever waited for.
    ///
    /// None only if the library refuses the fixed bounds; nothing is recorded
    /// then.
    histogram: Option<Arc<Mutex<Histogram<u64>>>>,
}

/// A histogram in figures.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LatencySummary {
    pub(crate) count: u64,
    pub(crate) sum_us: f64,
    /// Each quantile with its value in microseconds.
    pub(crate) quantiles: Vec<(f64, u64)>,
}

impl Latencies {
    /// The histogram `name`, made on first use. Parts of names are joined with
    /// dots, as in `call.submit`.
    pub fn latency(&self, name: &str) -> Latency {
        if let Some(known) = self.table.load().get(name) {
            return known.clone();
        }
        let fresh = Latency::new();
        self.table.rcu(|table| {
            let mut table = Table::clone(table);
            table.entry(name.into()).or_insert_with(|| fresh.clone());
            table
        });
        // Another thread may have been first.
        let table = self.table.load();
        table.get(name).cloned().unwrap_or(fresh)
    }

    /// Shows each histogram in turn.
    pub(crate) fn visit(&self, mut see: impl FnMut(&str, &LatencySummary)) {
        for (name, latency) in self.table.load().iter() {
            if let Some(summary) = latency.summary() {
                see(name, &summary);
            }
        }
    }
}

impl Latency {
    fn new() -> Latency {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        let histogram = histogram
            .inspect_err(|error| log::error!("no histogram: {error}"))
            .ok();
        Latency {
            histogram: histogram.map(|histogram| Arc::new(Mutex::new(histogram))),
        }
    }

    /// Adds one duration; what is longer than a minute counts as one.
    pub fn record(&self, span: Duration) {
        let us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &self.histogram {
            let mut histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
            histogram.saturating_record(us);
        }
    }

    fn summary(&self) -> Option<LatencySummary> {
        let histogram = self.histogram.as_ref()?;
        let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
        let value = |quantile: &f64| (*quantile, histogram.value_at_quantile(*quantile));
        #[allow(clippy::cast_precision_loss)]
        let sum_us = histogram.mean() * histogram.len() as f64;
        Some(LatencySummary {
            count: histogram.len(),
            sum_us,
            quantiles: QUANTILES.iter().map(value).collect(),
        })
    }
}
