//! Tests the trace of a request through all its steps. There is only one test,
//! because telemetry can be started only once per process.
#![allow(clippy::unwrap_used)]

mod support;

use cleat_settings::Settings;
use cleat_telemetry::Telemetry;
use serde_json::{Value, json};
use support::{Fleet, Target, entry, post};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const HOPS: [&str; 6] = [
    "received", "claimed", "admitted", "chosen", "sent", "answered",
];

#[tokio::test]
async fn trace_through_every_hop() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let mut settings = Settings::dev();
    settings.log.file = Some(path.clone());
    settings.trace.ratio_percent = 0;
    let telemetry = Telemetry::start(&settings).unwrap();

    let target = Target::ok("own").await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let address = entry.local_addr();
    let traced = format!("idempotency-key: k\r\ntraceparent: 00-{TRACE}-b7ad6b7169203331-01\r\n");
    assert_eq!(post(address, "/dock/x", &traced, "boat").await.status, 200);
    let untraced = "traceparent: 00-1af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00\r\n";
    for headers in [untraced, ""] {
        assert_eq!(post(address, "/dock/x", headers, "boat").await.status, 200);
    }
    telemetry.shutdown().await;

    let text = std::fs::read_to_string(path).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let spans: Vec<Value> = lines
        .filter(|line: &Value| line["target"] == "span")
        .collect();
    let find = |name: &str| spans.iter().find(|span| span["message"] == name).unwrap();
    let request = &find("request")["attributes"];
    assert_eq!(request["parent_id"], "b7ad6b7169203331");
    assert_eq!(
        (&request["outcome"], &request["service"]),
        (&json!("answered"), &json!("dock"))
    );
    for hop in HOPS {
        let hop = &find(hop)["attributes"];
        assert_eq!(
            (&hop["trace_id"], &hop["parent_id"]),
            (&json!(TRACE), &request["span_id"])
        );
    }
    assert_eq!(
        spans.len(),
        HOPS.len() + 1,
        "untraced requests record no spans"
    );

    let sent = target.requests();
    let id = request["span_id"].as_str().unwrap();
    assert!(sent[0].contains(&format!("traceparent: 00-{TRACE}-{id}-01\r\n")));
    assert!(
        sent[1].contains("-b7ad6b7169203331-00"),
        "forwarded unchanged"
    );
    assert!(!sent[2].contains("traceparent"));
}
