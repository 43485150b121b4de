//! Tests that only complete responses are forwarded as such, for each way in
//! which a target may fail to send one.
#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::{Fleet, Step, Target, call, entry, eventually, get, post};

const ONE_TRY: &str = r#"{"retry": {"tries": 1}}"#;

fn one_try() -> serde_json::Value {
    serde_json::from_str(ONE_TRY).unwrap()
}

/// Returns the summary of the response to a POST at a target that runs `steps`,
/// and whether the next request used the same connection.
async fn post_to_scripted_target(steps: Vec<Step>) -> (String, bool) {
    let target = Target::spawn(move |head| {
        if head.contains("x-next") {
            Step::ok("next")
        } else {
            steps.clone()
        }
    })
    .await;
    let terms = json!({"deadline_ms": 400});
    let (entry, _) = entry(&Fleet::with_targets(terms, &[&target], 1)).await;
    let reply = post(entry.local_addr(), "/dock/x", "", "boat").await;
    let next = get(entry.local_addr(), "/dock/y", "x-next: 1\r\n").await;
    assert_eq!(
        next.text(),
        "next",
        "the next request gets its own response"
    );
    let sends = target
        .requests()
        .iter()
        .filter(|r| r.starts_with("POST"))
        .count();
    assert_eq!(sends, 1, "a request that is not idempotent is sent once");
    (reply.summary(), target.accepted() == 1)
}

async fn check(steps: Vec<Step>, expected: &str) {
    let (summary, reused) = post_to_scripted_target(steps).await;
    assert_eq!(summary, expected);
    assert!(!reused, "the connection must not be used again");
}

#[tokio::test]
async fn answer_whole() {
    let (summary, reused) = post_to_scripted_target(Step::ok("yes")).await;
    assert_eq!(summary, "200 answered target's own");
    assert!(reused);
}

#[tokio::test]
async fn answer_late() {
    let mut steps = vec![Step::Sleep(1_000)];
    steps.extend(Step::ok("late"));
    check(steps, "504 unknown target-late").await;
}

#[tokio::test]
async fn answer_head_late() {
    let steps = vec![
        Step::write("HTTP/1.1 200 OK\r\ncontent-"),
        Step::Sleep(1_000),
        Step::write("length: 0\r\n\r\n"),
    ];
    check(steps, "504 unknown target-late").await;
}

#[tokio::test]
async fn answer_cut_in_head() {
    let steps = vec![Step::write("HTTP/1.1 200 OK\r\ncontent-le"), Step::Close];
    check(steps, "502 unknown target-cut").await;
}

#[tokio::test]
async fn answer_cut_in_body() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345";
    check(
        vec![Step::write(head), Step::Close],
        "502 unknown target-cut",
    )
    .await;
}

#[tokio::test]
async fn answer_cut_in_chunks() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n12345\r\n";
    check(
        vec![Step::write(head), Step::Close],
        "502 unknown target-cut",
    )
    .await;
}

#[tokio::test]
async fn answer_reset_in_body() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n12345";
    let steps = vec![Step::write(head), Step::Sleep(20), Step::Reset];
    check(steps, "502 unknown target-cut").await;
}

#[tokio::test]
async fn answer_reset_after_request() {
    check(vec![Step::Reset], "502 unknown target-cut").await;
}

#[tokio::test]
async fn answer_closed_after_request() {
    check(vec![Step::Close], "502 unknown target-cut").await;
}

#[tokio::test]
async fn answer_delimited_by_close() {
    let steps = vec![Step::write("HTTP/1.1 200 OK\r\n\r\nwhole?"), Step::Close];
    check(steps, "502 unknown answer-unframed").await;
}

#[tokio::test]
async fn answer_longer_than_stated() {
    let steps = vec![Step::write(
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n12345",
    )];
    check(steps, "502 unknown answer-surplus").await;
}

#[tokio::test]
async fn answer_followed_by_another() {
    let stray = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";
    let mut steps = Step::ok("own");
    steps.push(Step::Sleep(50));
    steps.push(Step::write(stray));
    let (summary, reused) = post_and_pause(steps).await;
    assert_eq!(summary, "200 answered target's own");
    assert!(!reused, "the connection must not be used again");
}

/// Like [`post_to_scripted_target`], but sends the next request after the last
/// step.
async fn post_and_pause(steps: Vec<Step>) -> (String, bool) {
    let target = Target::spawn(move |head| {
        if head.contains("x-next") {
            Step::ok("next")
        } else {
            steps.clone()
        }
    })
    .await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    let reply = post(entry.local_addr(), "/dock/x", "", "boat").await;
    eventually("the script has ended", || target.in_progress() == 0).await;
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let next = get(entry.local_addr(), "/dock/y", "x-next: 1\r\n").await;
    assert_eq!(next.text(), "next");
    (reply.summary(), target.accepted() == 1)
}

#[tokio::test]
async fn answer_with_two_lengths() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\n123";
    check(vec![Step::write(head)], "502 unknown answer-malformed").await;
}

#[tokio::test]
async fn answer_with_length_and_coding() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n\
                2\r\nhi\r\n0\r\n\r\n";
    check(vec![Step::write(head)], "502 unknown answer-malformed").await;
}

#[tokio::test]
async fn answer_that_is_not_http() {
    check(
        vec![Step::write("EHLO\r\n\r\n")],
        "502 unknown answer-malformed",
    )
    .await;
}

#[tokio::test]
async fn answer_that_switches_protocols() {
    let head = "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
    check(vec![Step::write(head)], "502 unknown answer-malformed").await;
}

#[tokio::test]
async fn answer_after_informational() {
    let steps = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n\
                 HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
    let (summary, reused) = post_to_scripted_target(vec![Step::write(steps)]).await;
    assert_eq!(summary, "200 answered target's own");
    assert!(reused);
}

#[tokio::test]
async fn answer_retried_when_idempotent() {
    let failing = Target::spawn(|_| vec![Step::Reset]).await;
    let good = Target::ok("good").await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&failing, &good], 8)).await;
    for _ in 0..20 {
        let reply = get(entry.local_addr(), "/dock/x", "").await;
        assert_eq!(reply.summary(), "200 answered target's own");
    }
    assert!(failing.count() > 0);
    let stated = "celerycleat-idempotent: false\r\n";
    let reply = get(entry.local_addr(), "/dock/x", stated).await;
    assert!(["200", "502"].contains(&&reply.summary()[..3]));
}

#[tokio::test]
async fn answer_of_a_failing_target_when_all_fail() {
    let busy = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nbusy";
    let target = Target::spawn(move |_| vec![Step::write(busy)]).await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let reply = get(entry.local_addr(), "/dock/x", "").await;
    assert_eq!(reply.summary(), "503 answered target's own");
    assert_eq!(reply.text(), "busy");
    assert_eq!(target.count(), 3, "an idempotent request is retried");
    let reply = post(entry.local_addr(), "/dock/x", "", "boat").await;
    assert_eq!(reply.summary(), "503 answered target's own");
    assert_eq!(target.count(), 4);
}

#[tokio::test]
async fn answer_from_another_target_when_unreachable() {
    let refusing = Target::refusing().await;
    let good = Target::ok("good").await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&refusing, &good], 8)).await;
    for _ in 0..10 {
        let reply = post(entry.local_addr(), "/dock/x", "", "boat").await;
        assert_eq!(reply.summary(), "200 answered target's own");
    }
    assert_eq!(good.count(), 10);
}

#[tokio::test]
async fn answer_not_run_when_all_unreachable() {
    let refusing = Target::refusing().await;
    let (entry, _) = entry(&Fleet::with_targets(one_try(), &[&refusing], 8)).await;
    let reply = post(entry.local_addr(), "/dock/x", "", "boat").await;
    assert_eq!(reply.summary(), "503 not-run targets-unreachable");
    assert!(reply.header("retry-after").is_some());
}

#[tokio::test]
async fn answer_after_idle_connection_closed() {
    let target = Target::spawn(|_| {
        let mut steps = Step::ok("own");
        steps.push(Step::Close);
        steps
    })
    .await;
    let (entry, _) = entry(&Fleet::with_targets(one_try(), &[&target], 1)).await;
    for _ in 0..5 {
        let reply = post(entry.local_addr(), "/dock/x", "", "boat").await;
        assert_eq!(reply.summary(), "200 answered target's own");
        eventually("the target has closed the connection", || {
            target.connections() == 0
        })
        .await;
    }
    assert_eq!(target.count(), 5);
}

#[tokio::test]
async fn answer_reset_on_accept() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_zero_linger().unwrap();
        }
    });
    let mut fleet = Fleet::new(one_try());
    fleet.announce("t", address, 8);
    let (entry, _) = entry(&fleet).await;
    let reply = post(entry.local_addr(), "/dock/x", "", "boat").await;
    // The outcome depends on whether the reset arrives before the write.
    let allowed = ["502 unknown target-cut", "503 not-run targets-unreachable"];
    assert!(
        allowed.contains(&reply.summary().as_str()),
        "{}",
        reply.summary()
    );
}

#[tokio::test]
async fn answer_without_body() {
    let target = Target::spawn(|head| {
        let answer = match head.split(' ').next() {
            Some("HEAD") => "HTTP/1.1 200 OK\r\ncontent-length: 512\r\n\r\n",
            Some("DELETE") => "HTTP/1.1 204 No Content\r\n\r\n",
            _ => "HTTP/1.1 304 Not Modified\r\netag: \"1\"\r\n\r\n",
        };
        vec![Step::write(answer)]
    })
    .await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    let send = async |method: &str| {
        let raw = format!("{method} /dock/x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n");
        call(entry.local_addr(), &raw).await
    };
    let head = send("HEAD").await;
    assert_eq!(head.summary(), "200 answered target's own");
    assert_eq!(head.header("content-length"), Some("512"));
    assert_eq!(send("DELETE").await.summary(), "204 answered target's own");
    assert_eq!(send("GET").await.summary(), "304 answered target's own");
    assert_eq!(target.accepted(), 1, "the connection was reused");
}

fn large_response(length: usize, sent: usize) -> Vec<Step> {
    let body = "x".repeat(sent);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    vec![Step::write(&head)]
}

fn large_chunked_response(sent: usize, end: bool) -> Vec<Step> {
    let body = "x".repeat(sent);
    let end = if end { "0\r\n\r\n" } else { "" };
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    vec![Step::write(&format!("{head}{sent:x}\r\n{body}\r\n{end}"))]
}

const LARGE: usize = 600_000;

#[tokio::test]
async fn answer_streamed_whole() {
    let target = Target::spawn(|head| {
        if head.contains("/chunked") {
            large_chunked_response(LARGE, true)
        } else {
            large_response(LARGE, LARGE)
        }
    })
    .await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    let reply = get(entry.local_addr(), "/dock/x", "").await;
    assert_eq!((reply.outcome(), reply.body.len()), ("answered", LARGE));
    let reply = get(entry.local_addr(), "/dock/chunked", "").await;
    assert!(reply.is_complete() && reply.body.len() > LARGE);
    assert_eq!(entry.counters()["entry.streamed"], 2);
    assert_eq!(target.accepted(), 1, "the connection was reused");
}

#[tokio::test]
async fn answer_streamed_and_cut() {
    let target = Target::spawn(|head| {
        let mut steps = match () {
            () if head.contains("/chunked") => large_chunked_response(LARGE, false),
            () => large_response(LARGE, LARGE - 1),
        };
        steps.push(Step::Close);
        steps
    })
    .await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    for path in ["/dock/x", "/dock/chunked"] {
        let reply = get(entry.local_addr(), path, "").await;
        assert!(!reply.is_complete(), "{path}");
        assert!(!reply.body.is_empty(), "{path}");
    }
    let raw = "GET /dock/chunked HTTP/1.0\r\n\r\n";
    let reply = call(entry.local_addr(), raw).await;
    assert_eq!(reply.summary(), "502 unknown answer-too-large");
}

#[tokio::test]
async fn answer_streamed_past_the_deadline() {
    let target = Target::spawn(|_| {
        let mut steps = large_response(LARGE, LARGE - 1);
        steps.push(Step::Sleep(5_000));
        steps
    })
    .await;
    let terms = json!({"deadline_ms": 300});
    let (entry, _) = entry(&Fleet::with_targets(terms, &[&target], 1)).await;
    let reply = get(entry.local_addr(), "/dock/x", "").await;
    assert!(!reply.is_complete());
}

#[tokio::test]
async fn answer_streamed_to_a_caller_that_stops_reading() {
    let target = Target::spawn(|head| {
        if head.contains("/huge") {
            large_response(30_000_000, 30_000_000)
        } else {
            Step::ok("own")
        }
    })
    .await;
    let terms = json!({"deadline_ms": 300});
    let (entry, _) = entry(&Fleet::with_targets(terms, &[&target], 1)).await;
    let mut stream = support::open(entry.local_addr()).await;
    let raw = b"GET /dock/huge HTTP/1.1\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, raw)
        .await
        .unwrap();
    eventually("the response is streamed", || {
        entry.counters()["entry.streamed"] == 1
    })
    .await;
    let mut reply = get(entry.local_addr(), "/dock/x", "").await;
    for _ in 0..50 {
        if reply.status == 200 {
            break;
        }
        reply = get(entry.local_addr(), "/dock/x", "").await;
    }
    assert_eq!(reply.text(), "own", "the slot is released at the deadline");
}

#[tokio::test]
async fn answer_memory_bounded() {
    let target = Target::spawn(|_| Step::ok(&"x".repeat(20_000))).await;
    let fleet = Fleet::with_targets(json!({}), &[&target], 4);
    let control = std::sync::Arc::default();
    let limits = cleat_entry::Limits {
        response_memory_bytes: 10_000,
        ..support::limits()
    };
    let entry = support::entry_with(&fleet, control, "e1", &["e1"], limits).await;
    let reply = get(entry.local_addr(), "/dock/x", "").await;
    assert_eq!((reply.outcome(), reply.body.len()), ("answered", 20_000));
    assert_eq!(entry.counters()["entry.streamed"], 1);
    let held = || entry.counters()["entry.answer_bytes_held"];
    eventually("the memory is released", || held() == 0).await;
}
