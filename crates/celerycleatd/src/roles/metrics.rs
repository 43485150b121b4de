//! The metrics address.

use cleat_control::Metrics;
use cleat_http::{Answer, Handler, text};
use cleat_telemetry::exposition;
use http::{Request, StatusCode};
use hyper::body::Incoming;

/// Where the text is.
const PATH: &str = "/metrics";

/// Answers with all counters and histograms.
pub(super) struct MetricsSide(pub(super) Metrics);

impl Handler for MetricsSide {
    async fn handle(&self, req: Request<Incoming>) -> Answer {
        if req.uri().path() != PATH {
            return text(StatusCode::NOT_FOUND, format!("see {PATH}"));
        }
        let Metrics {
            counters,
            latencies,
        } = &self.0;
        text(StatusCode::OK, exposition(counters, latencies))
    }
}
