//! The metrics address.

use cleat_control::Metrics;
use cleat_http::{Answer, ConnectionBudget, Handler, text};
use cleat_telemetry::exposition;
use http::{Request, StatusCode};
use hyper::body::Incoming;

/// Where the text is.
const PATH: &str = "/metrics";

/// Answers with all counters and histograms.
pub(super) struct MetricsSide {
    pub(super) metrics: Metrics,
    /// The HTTP connections of the process.
    pub(super) budget: ConnectionBudget,
}

impl Handler for MetricsSide {
    async fn handle(&self, req: Request<Incoming>) -> Answer {
        if req.uri().path() != PATH {
            return text(StatusCode::NOT_FOUND, format!("see {PATH}"));
        }
        let Metrics {
            counters,
            latencies,
        } = &self.metrics;
        let open = u64::try_from(self.budget.open()).unwrap_or(u64::MAX);
        counters.gauge("connections.open").set(open);
        let most = u64::try_from(self.budget.most()).unwrap_or(u64::MAX);
        counters.gauge("connections.most").set(most);
        text(StatusCode::OK, exposition(counters, latencies))
    }
}
