//! Tests admission, queueing, retries, and targets that join or leave.
#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use support::{FakeControl, Fleet, Reply, Step, Target, entry, entry_with, eventually, get, post};
use tokio::task::JoinSet;

async fn send_many(
    address: std::net::SocketAddr,
    count: usize,
    headers: &'static str,
) -> Vec<Reply> {
    let mut calls = JoinSet::new();
    for _ in 0..count {
        calls.spawn(async move { get(address, "/dock/x", headers).await });
    }
    calls.join_all().await
}

#[tokio::test]
async fn slots_never_exceeded() {
    let (a, b) = (slow_target().await, slow_target().await);
    let fleet = Fleet::with_targets(json!({"queue": {"length": 500}}), &[&a, &b], 3);
    let (entry, _) = entry(&fleet).await;
    let replies = send_many(entry.local_addr(), 60, "").await;
    assert!(replies.iter().all(|reply| reply.status == 200));
    for target in [&a, &b] {
        assert_eq!(
            target.max_in_progress(),
            3,
            "all slots are used, but no more"
        );
        assert!(target.max_connections() <= 3);
    }
    assert_eq!(a.count() + b.count(), 60);
    assert!(entry.counters()["entry.waited"] > 0);
}

async fn slow_target() -> Target {
    Target::spawn(|_| Step::slow_ok(15, "own")).await
}

#[tokio::test]
async fn slots_shared_among_entries() {
    let target = slow_target().await;
    let fleet = Fleet::with_targets(json!({}), &[&target], 4);
    let names = ["e1", "e2", "e3"];
    let mut calls = JoinSet::new();
    let mut entries = Vec::new();
    for name in names {
        let control = Arc::new(FakeControl::default());
        let entry = entry_with(&fleet, control, name, &names, support::limits()).await;
        let address = entry.local_addr();
        calls.spawn(async move { send_many(address, 12, "").await });
        entries.push(entry);
    }
    let replies: Vec<Reply> = calls.join_all().await.into_iter().flatten().collect();
    assert!(replies.iter().all(|reply| reply.status == 200));
    assert!(target.max_in_progress() <= 4);
    assert!(target.max_connections() <= 4);
}

#[tokio::test]
async fn slots_kept_by_abandoned_requests() {
    let target = Target::spawn(|_| Step::slow_ok(200, "own")).await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    let call = tokio::spawn(get(entry.local_addr(), "/dock/x", ""));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    call.abort();
    // The connection of the aborted request is closed before the next one
    // opens.
    let reply = get(entry.local_addr(), "/dock/x", "").await;
    assert_eq!(reply.status, 200);
    assert_eq!(target.accepted(), 2);
}

#[tokio::test]
async fn queue_full_refused_at_once() {
    let target = Target::spawn(|_| Step::slow_ok(300, "own")).await;
    let terms = json!({"queue": {"length": 2}});
    let (entry, _) = entry(&Fleet::with_targets(terms, &[&target], 1)).await;
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for _ in 0..6 {
        let address = entry.local_addr();
        calls.spawn(async move { (get(address, "/dock/x", "").await, started.elapsed()) });
    }
    let replies = calls.join_all().await;
    let refused: Vec<_> = replies.iter().filter(|(r, _)| r.status == 503).collect();
    assert_eq!(refused.len(), 3);
    for (reply, _) in refused {
        assert_eq!(reply.summary(), "503 not-run queue-full");
        assert!(reply.header("retry-after").is_some());
    }
    assert_eq!(target.count(), 3);
}

#[tokio::test]
async fn queue_refuses_on_arrival_what_cannot_finish_in_time() {
    let target = Target::spawn(|_| Step::slow_ok(150, "own")).await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    let address = entry.local_addr();
    for _ in 0..3 {
        // The admission controller measures the service time.
        get(address, "/dock/x", "").await;
    }
    let replies = send_many(address, 8, "celerycleat-deadline-ms: 400\r\n").await;
    let refused = replies.iter().filter(|reply| reply.status == 503).count();
    assert!((5..8).contains(&refused), "{refused}");
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        assert_eq!(reply.summary(), "503 not-run cannot-finish-in-time");
    }
}

#[tokio::test]
async fn queue_refuses_while_waiting_what_cannot_finish_in_time() {
    let target = Target::spawn(|head| match () {
        () if head.contains("/long") => Step::slow_ok(700, "own"),
        () => Step::slow_ok(300, "own"),
    })
    .await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    let address = entry.local_addr();
    for _ in 0..3 {
        get(address, "/dock/x", "").await;
    }
    let long = tokio::spawn(get(address, "/dock/long", ""));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    let reply = get(address, "/dock/x", "celerycleat-deadline-ms: 800\r\n").await;
    assert_eq!(reply.summary(), "503 not-run cannot-finish-in-time");
    assert_eq!(entry.counters()["entry.waited"], 1);
    assert_eq!(
        target.in_progress(),
        1,
        "it is refused before a slot is free"
    );
    assert_eq!(long.await.unwrap().status, 200);
}

#[tokio::test]
async fn quota_refused_with_429() {
    let target = Target::ok("own").await;
    let terms = json!({"callers": {"school": {"quota": {"per_second": 1, "burst": 2}}}});
    let (entry, _) = entry(&Fleet::with_targets(terms, &[&target], 8)).await;
    let mut summaries = Vec::new();
    for _ in 0..3 {
        let reply = get(
            entry.local_addr(),
            "/dock/x",
            "celerycleat-caller: school\r\n",
        )
        .await;
        summaries.push(reply.summary());
    }
    assert_eq!(summaries[2], "429 not-run over-quota");
    assert_eq!(target.count(), 2);
    assert_eq!(get(entry.local_addr(), "/dock/x", "").await.status, 200);
}

#[tokio::test]
async fn target_withdrawn_gets_nothing_new() {
    let (leaving, staying) = (slow_target().await, slow_target().await);
    let mut fleet = Fleet::with_targets(json!({}), &[&leaving, &staying], 4);
    let (entry, _) = entry(&fleet).await;
    let address = entry.local_addr();
    let running = tokio::spawn(send_many(address, 30, ""));
    eventually("both targets are in use", || {
        leaving.count() > 2 && staying.count() > 2
    })
    .await;
    fleet.withdraw("t0");
    entry.update_routes(&fleet.world);
    let begun = leaving.count();
    let replies = running.await.unwrap();
    assert!(
        replies
            .iter()
            .all(|r| r.summary() == "200 answered target's own")
    );
    send_many(address, 10, "").await;
    // Requests that acquired their slots before may arrive slightly later.
    assert!(leaving.count() - begun <= 4);
    let settled = leaving.count();
    send_many(address, 10, "").await;
    assert_eq!(leaving.count(), settled);
    eventually("the connections are closed", || leaving.connections() == 0).await;
}

#[tokio::test]
async fn target_withdrawn_while_others_wait() {
    let target = Target::spawn(|_| Step::slow_ok(200, "own")).await;
    let mut fleet = Fleet::with_targets(json!({}), &[&target], 1);
    let (entry, _) = entry(&fleet).await;
    let address = entry.local_addr();
    let first = tokio::spawn(get(address, "/dock/x", ""));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    let waiting = tokio::spawn(get(address, "/dock/x", ""));
    eventually("a request waits", || entry.counters()["entry.waited"] == 1).await;
    fleet.withdraw("t0");
    entry.update_routes(&fleet.world);
    assert_eq!(waiting.await.unwrap().summary(), "503 not-run no-target");
    assert_eq!(
        first.await.unwrap().status,
        200,
        "a running request finishes"
    );
    let later = get(address, "/dock/x", "").await;
    assert_eq!(later.summary(), "503 not-run no-target");
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn target_announced_again_keeps_its_slots() {
    let old = Target::spawn(|_| Step::slow_ok(300, "old")).await;
    let new = Target::ok("new").await;
    let mut fleet = Fleet::with_targets(json!({}), &[&old], 2);
    let (entry, _) = entry(&fleet).await;
    let address = entry.local_addr();
    let running = tokio::spawn(send_many(address, 2, ""));
    eventually("all slots are in use", || old.in_progress() == 2).await;
    fleet.withdraw("t0");
    entry.update_routes(&fleet.world);
    fleet.announce("t0", new.address, 2);
    entry.update_routes(&fleet.world);
    let waiting = tokio::spawn(get(address, "/dock/x", ""));
    eventually("a request waits", || entry.counters()["entry.waited"] == 1).await;
    assert_eq!(new.count(), 0, "requests started earlier still count");
    assert!(
        running
            .await
            .unwrap()
            .iter()
            .all(|reply| reply.text() == "old")
    );
    assert_eq!(waiting.await.unwrap().text(), "new");
}

#[tokio::test]
async fn target_joined_serves_waiting_requests() {
    let slow = Target::spawn(|_| Step::slow_ok(1_000, "slow")).await;
    let mut fleet = Fleet::with_targets(json!({}), &[&slow], 1);
    let (entry, _) = entry(&fleet).await;
    let address = entry.local_addr();
    let first = tokio::spawn(get(address, "/dock/x", ""));
    eventually("the request is at the target", || slow.in_progress() == 1).await;
    let waiting = tokio::spawn(get(address, "/dock/x", ""));
    eventually("a request waits", || entry.counters()["entry.waited"] == 1).await;
    let quick = Target::ok("quick").await;
    fleet.announce("t1", quick.address, 1);
    entry.update_routes(&fleet.world);
    assert_eq!(waiting.await.unwrap().text(), "quick");
    assert_eq!(
        slow.in_progress(),
        1,
        "the request did not wait for the slow target"
    );
    assert_eq!(first.await.unwrap().text(), "slow");
}

#[tokio::test]
async fn service_removed_refuses_waiting_requests() {
    let target = Target::spawn(|_| Step::slow_ok(300, "own")).await;
    let mut fleet = Fleet::with_targets(json!({}), &[&target], 1);
    let (entry, _) = entry(&fleet).await;
    let address = entry.local_addr();
    let first = tokio::spawn(get(address, "/dock/x", ""));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    let waiting = tokio::spawn(post(address, "/dock/x", "", "boat"));
    eventually("a request waits", || entry.counters()["entry.waited"] == 1).await;
    fleet.configure(&[("jetty", json!({}))]);
    entry.update_routes(&fleet.world);
    assert_eq!(waiting.await.unwrap().summary(), "503 not-run no-target");
    assert_eq!(first.await.unwrap().status, 200);
    let gone = get(address, "/dock/x", "").await;
    assert_eq!(gone.summary(), "404 not-run unknown-service");
}

#[tokio::test]
async fn lease_expired_while_waiting_sends_nothing() {
    let target = Target::spawn(|_| Step::slow_ok(100, "own")).await;
    let (entry, control) = entry(&Fleet::with_targets(json!({}), &[&target], 1)).await;
    let address = entry.local_addr();
    let first = tokio::spawn(get(address, "/dock/x", ""));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    let waiting = tokio::spawn(post(address, "/dock/x", "", "boat"));
    eventually("a request waits", || entry.counters()["entry.waited"] == 1).await;
    control
        .in_service
        .store(false, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(first.await.unwrap().status, 200);
    assert_eq!(
        waiting.await.unwrap().summary(),
        "503 not-run not-in-service"
    );
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn retry_waits_for_another_target() {
    let cutting = Target::spawn(|_| vec![Step::Sleep(50), Step::Close]).await;
    let good = Target::spawn(|_| Step::slow_ok(200, "own")).await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&cutting, &good], 1)).await;
    let replies = send_many(entry.local_addr(), 2, "").await;
    // The only slot of the good target was in use when the other target closed
    // its connection, so the retry had to wait.
    assert!(replies.iter().all(|reply| reply.text() == "own"));
    assert_eq!((cutting.count(), good.count()), (1, 2));
}

#[tokio::test]
async fn retry_abandoned_once_it_cannot_finish_in_time() {
    let good = Target::spawn(|_| Step::slow_ok(1_000, "own")).await;
    let cutting = Target::spawn(|_| vec![Step::Sleep(50), Step::Close]).await;
    let mut fleet = Fleet::with_targets(json!({}), &[&good], 1);
    let (entry, _) = entry(&fleet).await;
    let address = entry.local_addr();
    let long = tokio::spawn(get(address, "/dock/x", ""));
    eventually("the request is at the target", || good.in_progress() == 1).await;
    fleet.announce("t1", cutting.address, 1);
    entry.update_routes(&fleet.world);
    let hurried = get(address, "/dock/x", "celerycleat-deadline-ms: 400\r\n").await;
    assert_eq!(hurried.summary(), "502 unknown earlier-try");
    assert_eq!((good.in_progress(), cutting.count()), (1, 1));
    assert_eq!(long.await.unwrap().text(), "own");
    assert_eq!(good.count(), 1);
}
