//! Everything at once; a process starts telemetry once, so this is one test.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::HashMap;
use std::fs;
use std::net::UdpSocket;
use std::time::Duration;

use cleat_settings::Settings;
use cleat_telemetry::{Telemetry, TelemetryError, context_from, inject, request_span};
use futures::StreamExt;
use serde_json::Value;
use tarpc::server::{BaseChannel, Channel};
use tracing::{Instrument, info_span};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const SPAN: &str = "b7ad6b7169203331";

#[tarpc::service]
trait Claim {
    async fn claim(key: u32) -> u32;
}

#[derive(Clone)]
struct Holder;

impl Claim for Holder {
    async fn claim(self, _: tarpc::context::Context, key: u32) -> u32 {
        async { key }
            .instrument(info_span!(target: "cleat_entry", "held"))
            .await
    }
}

fn claim_client() -> ClaimClient {
    let (near, far) = tarpc::transport::channel::unbounded();
    let requests = BaseChannel::with_defaults(far).execute(Holder.serve());
    tokio::spawn(requests.for_each(|request| async {
        tokio::spawn(request);
    }));
    ClaimClient::new(tarpc::client::Config::default(), near).spawn()
}

/// A request with these headers; answers what is sent on, if it is traced.
async fn request(client: &ClaimClient, traceparent: Option<&str>) -> Option<String> {
    let get = |name: &str| traceparent.filter(|_| name == "traceparent");
    let span = request_span(context_from(get).as_ref());
    let work = async {
        let chosen = info_span!(target: "cleat_entry", "chosen", target = "t1");
        assert_eq!(chosen.is_disabled(), span.is_disabled());
        let cx = tarpc::context::current();
        client.claim(cx, 7).instrument(chosen).await.unwrap();
    };
    work.instrument(span.clone()).await;
    let mut sent = None;
    let any = inject(&span, |name, value| {
        assert_eq!(name, "traceparent");
        sent = Some(value);
    });
    assert_eq!(any, sent.is_some());
    span.record("outcome", "answered");
    sent
}

fn receive(socket: &UdpSocket, wanted: &str) -> String {
    let mut seen = String::new();
    let mut buf = [0; 2048];
    while !seen.contains(wanted) {
        let length = socket.recv(&mut buf).expect("a datagram within 20 s");
        seen.push_str(&String::from_utf8_lossy(&buf[..length]));
        seen.push('\n');
    }
    seen
}

#[tokio::test]
async fn start_logs_counts_and_traces() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("e1.log");
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    statsd
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut settings = Settings::dev();
    settings.log.file = Some(path.clone());
    settings.trace.ratio_percent = 0;
    settings.metrics.statsd = Some(statsd.local_addr().unwrap());

    let telemetry = Telemetry::start(&settings).unwrap();
    let again = Telemetry::start(&settings).err();
    assert!(matches!(again, Some(TelemetryError::AlreadyStarted)));
    let answered = telemetry.counters().counter("requests.answered");
    answered.add(3);
    telemetry.counters().gauge("queue").set(2);
    log::info!("a line");
    log::debug!("below the level");

    let client = claim_client();
    let sampled = format!("00-{TRACE}-{SPAN}-01");
    let sent = request(&client, Some(&sampled)).await.unwrap();
    assert!(sent.starts_with(&format!("00-{TRACE}-")) && sent.ends_with("-01"));
    assert_ne!(sent, sampled);
    let unsampled = format!("00-{TRACE}-{SPAN}-00");
    for untraced in [Some(&*unsampled), Some("00-zero-b7-01"), None] {
        assert_eq!(request(&client, untraced).await, None);
    }
    let (statsd, seen) = tokio::task::spawn_blocking(move || {
        let seen = receive(&statsd, "queue:2|g");
        (statsd, seen)
    })
    .await
    .unwrap();
    assert!(seen.contains("celerycleat.requests.answered:3|c"), "{seen}");
    answered.add(4);
    telemetry.shutdown().await;
    receive(&statsd, "celerycleat.requests.answered:4|c");

    let text = fs::read_to_string(&path).unwrap();
    let lines: Vec<Value> = text
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    let said = |m: &str| lines.iter().filter(|l| l["message"] == m).count();
    assert_eq!((said("a line"), said("below the level")), (1, 0));
    let spans: Vec<&Value> = lines.iter().filter(|l| l["target"] == "span").collect();
    assert_one_chain(&spans);
}

/// Only the sampled request left spans: one trace, through the call and back out of it.
fn assert_one_chain(spans: &[&Value]) {
    let by_id: HashMap<&str, &Value> = spans
        .iter()
        .map(|span| (span["attributes"]["span_id"].as_str().unwrap(), *span))
        .collect();
    let mut names = Vec::new();
    let mut at = spans.iter().find(|span| span["message"] == "held").copied();
    while let Some(span) = at {
        let attributes = &span["attributes"];
        assert_eq!(attributes["trace_id"], TRACE);
        let number = |key: &str| attributes[key].as_str()?.parse::<u64>().ok();
        assert!(number("start_us") > Some(0) && number("duration_us").is_some());
        let kind = attributes["kind"].as_str().unwrap();
        names.push(format!("{} {kind}", span["message"].as_str().unwrap()));
        let parent = attributes["parent_id"].as_str().unwrap();
        if !by_id.contains_key(parent) {
            assert_eq!(parent, SPAN);
            assert_eq!(attributes["outcome"], "answered");
        }
        at = by_id.get(parent).copied();
    }
    // The library names the server's span before it knows the call.
    let wanted = [
        "held internal",
        "RPC server",
        "Claim.claim client",
        "chosen internal",
        "request server",
    ];
    assert_eq!(names, wanted);
    assert_eq!(spans.len(), wanted.len(), "{spans:#?}");
}
