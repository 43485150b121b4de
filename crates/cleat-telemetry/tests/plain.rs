//! Plain lines and a ratio of all; a process starts telemetry once, so this is one test.

use std::fs;

use cleat_settings::{LogFormat, Settings};
use cleat_telemetry::{Telemetry, TelemetryError, request_span};
use log::LevelFilter;
use tracing::{debug_span, info_span};

#[tokio::test]
async fn start_plain_with_every_request_traced() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("e1.log");
    fs::write(&path, "kept\n").unwrap();
    let mut settings = Settings::dev();
    settings.log.format = LogFormat::Plain;
    settings.log.level = LevelFilter::Info;
    settings.trace.ratio_percent = 100;
    settings.log.file = Some(path.join("below"));
    let refused = Telemetry::start(&settings).err();
    assert!(matches!(refused, Some(TelemetryError::LogFile { .. })));

    settings.log.file = Some(path.clone());
    let telemetry = Telemetry::start(&settings).unwrap();
    log::debug!("below the level");
    log::warn!("a line");
    let span = request_span(None);
    span.in_scope(|| {
        drop(info_span!(target: "cleat_entry", "chosen"));
        drop(debug_span!(target: "cleat_entry", "too fine"));
        drop(info_span!(target: "hyper", "of another library"));
    });
    drop(span);
    drop(info_span!(target: "cleat_entry", "part of no request"));
    let counters = telemetry.counters().clone();
    telemetry.shutdown().await;
    let spans = ["spans.ended", "spans.written"].map(|name| counters.counter(name).get());
    assert_eq!(spans, [2, 2]);
    let text = fs::read_to_string(&path).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert_eq!(lines[0], "kept");
    assert!(lines[1].ends_with("WARN plain - a line"), "{text}");
    assert!(lines[2].contains("INFO span - chosen trace_id="), "{text}");
    assert!(lines[3].contains("INFO span - request trace_id="), "{text}");
}
