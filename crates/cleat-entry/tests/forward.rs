//! Tests which parts of a request a target receives, and which parts of its
//! response the caller receives.
#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::{Fleet, Step, Target, entry, get, post};

#[tokio::test]
async fn forward_request_and_answer() {
    let answer = "HTTP/1.1 201 Created\r\ncontent-length: 2\r\nx-own: 1\r\nconnection: x-hop\r\n\
                  x-hop: 1\r\nkeep-alive: 5\r\ncelerycleat-outcome: not-run\r\n\r\nhi";
    let target = Target::spawn(move |_| vec![Step::write(answer)]).await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let headers = "x-end: 1\r\nconnection: x-drop\r\nx-drop: 1\r\nte: trailers\r\n\
                   celerycleat-deadline-ms: 900\r\ncelerycleat-outcome: answered\r\n\
                   traceparent: 00-0123456789abcdef0123456789abcdef-0123456789abcdef-00\r\n";
    let reply = post(
        entry.local_addr(),
        "/dock/berths/7?tide=high",
        headers,
        "boat",
    )
    .await;
    assert_eq!(reply.status, 201);
    assert_eq!(reply.outcome(), "answered");
    assert_eq!(reply.text(), "hi");
    assert_eq!(reply.header("x-own"), Some("1"));
    assert_eq!(reply.header("x-hop"), None);
    assert_eq!(reply.header("keep-alive"), None);

    let request = &target.requests()[0];
    assert!(
        request.starts_with("POST /berths/7?tide=high HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.ends_with("\r\n\r\nboat"), "{request}");
    for kept in [
        "x-end: 1",
        "host: test",
        "content-length: 4",
        "-0123456789abcdef-00",
    ] {
        assert!(request.contains(kept), "{kept} in {request}");
    }
    for removed in ["x-drop", "te:", "connection", "celerycleat-outcome"] {
        assert!(!request.contains(removed), "{removed} in {request}");
    }
    let deadline = request
        .lines()
        .find_map(|l| l.strip_prefix("celerycleat-deadline-ms: "));
    let deadline: u64 = deadline.unwrap().parse().unwrap();
    assert!((1..=900).contains(&deadline));
}

#[tokio::test]
async fn forward_root_and_health() {
    let target = Target::ok("x").await;
    let (entry, control) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let address = entry.local_addr();
    assert_eq!(get(address, "/dock", "").await.status, 200);
    assert!(target.requests()[0].starts_with("GET / HTTP/1.1"));
    assert_eq!(get(address, "/-/ready", "").await.status, 200);
    control
        .in_service
        .store(false, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(get(address, "/-/ready", "").await.status, 503);
    assert_eq!(get(address, "/-/live", "").await.status, 200);
    let refused = get(address, "/dock", "").await;
    assert_eq!(refused.summary(), "503 not-run not-in-service");
    assert_eq!(target.count(), 1);
}
