//! A level that has no spans; a process starts telemetry once, so this is one test.

use std::fs;

use cleat_settings::Settings;
use cleat_telemetry::{Telemetry, context_from, inject, request_span};
use log::LevelFilter;
use tracing::info_span;

const SAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[tokio::test]
async fn start_below_info_traces_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("e1.log");
    let mut settings = Settings::dev();
    settings.log.level = LevelFilter::Warn;
    settings.log.file = Some(path.clone());
    settings.trace.ratio_percent = 100;
    let telemetry = Telemetry::start(&settings).unwrap();
    log::info!("below the level");
    for traceparent in [None, Some(SAMPLED)] {
        let parent = context_from(|name| traceparent.filter(|_| name == "traceparent"));
        let span = request_span(parent.as_ref());
        assert!(span.is_disabled());
        span.in_scope(|| drop(info_span!(target: "cleat_entry", "chosen")));
        // The next hop gets what the caller sent.
        assert!(!inject(&span, |_, _| unreachable!()));
    }
    let counters = telemetry.counters().clone();
    telemetry.shutdown().await;
    let spans = ["spans.ended", "spans.written"].map(|name| counters.counter(name).get());
    assert_eq!(spans, [0, 0]);
    assert_eq!(fs::read_to_string(&path).unwrap(), "");
}
