//! The metrics address.

use cleat_control::Metrics;
use cleat_http::{Answer, ConnectionBudget, Handler, Inbound, RequestBody, text};
use cleat_telemetry::exposition;
use http::{Request, StatusCode};

/// Where the text is.
const PATH: &str = "/metrics";

/// Answers with all counters and histograms.
pub(super) struct MetricsSide {
    pub(super) metrics: Metrics,
    /// The HTTP connections of the process.
    pub(super) budget: ConnectionBudget,
    /// Those that clients opened.
    pub(super) inbound: Inbound,
}

impl MetricsSide {
    /// Sets the gauges of what is counted outside of the metrics.
    fn update_gauges(&self) {
        let set = |name: &str, value: u64| self.metrics.counters.gauge(name).set(value);
        set("connections.open", number(self.budget.open()));
        set("connections.most", number(self.budget.most()));
        for (name, value) in self.inbound.counts().named() {
            set(name, value);
        }
    }
}

fn number(size: usize) -> u64 {
    u64::try_from(size).unwrap_or(u64::MAX)
}

impl Handler for MetricsSide {
    async fn handle(&self, req: Request<RequestBody>) -> Answer {
        if req.uri().path() != PATH {
            return text(StatusCode::NOT_FOUND, format!("see {PATH}"));
        }
        self.update_gauges();
        let Metrics {
            counters,
            latencies,
        } = &self.metrics;
        text(StatusCode::OK, exposition(counters, latencies))
    }
}
