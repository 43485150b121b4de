//! Tests the response to a request with an idempotency key that is rejected
//! before its claim. An earlier request with the key may have run through
//! another instance, so the response must not say "not run" unless the key is
//! known to be free.
#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cleat_entry::{Entry, Limits};
use serde_json::json;
use support::{Behaviour, FakeControl, Fleet, Reply, Step, Target, entry, entry_with, eventually};
use support::{get, limits, post};

const KEY: &str = "idempotency-key: k1\r\ncelerycleat-caller: school\r\n";
const NOT_IN_SERVICE: &str = "503 not-run not-in-service";
const NOT_LOOKED_UP: &str = "504 unknown idempotency-key-not-looked-up";

async fn send(entry: &Entry<FakeControl>) -> Reply {
    post(entry.local_addr(), "/dock/x", KEY, "boat").await
}

/// An entry that is out of service, with a copy of the first entry's keys, and
/// its control.
async fn entry_out_of_service(
    fleet: &Fleet,
    first: &FakeControl,
) -> (Entry<FakeControl>, Arc<FakeControl>) {
    let control = Arc::new(FakeControl::default());
    control.in_service.store(false, Ordering::SeqCst);
    *control.table.lock().unwrap() = first.table.lock().unwrap().clone();
    let entry = entry_with(fleet, Arc::clone(&control), "e2", &["e1", "e2"], limits()).await;
    (entry, control)
}

#[tokio::test]
async fn refused_key_that_is_free() {
    let target = Target::ok("own").await;
    let fleet = Fleet::with_targets(json!({}), &[&target], 8);
    let (second, control) = entry_out_of_service(&fleet, &FakeControl::default()).await;
    let reply = send(&second).await;
    assert_eq!(reply.summary(), NOT_IN_SERVICE);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(target.count(), 0);
    assert!(
        control.table.lock().unwrap().is_empty(),
        "nothing is claimed"
    );
}

#[tokio::test]
async fn refused_key_that_ran_replays() {
    let target = Target::ok("own").await;
    let fleet = Fleet::with_targets(json!({}), &[&target], 8);
    let (first, control) = entry(&fleet).await;
    assert_eq!(send(&first).await.status, 200);
    eventually("the key is settled", || control.settled().len() == 1).await;
    let (second, _) = entry_out_of_service(&fleet, &control).await;
    let again = send(&second).await;
    assert_eq!(again.header("celerycleat-replayed"), Some("true"));
    assert_eq!(
        (again.outcome(), again.text().as_str()),
        ("answered", "own")
    );
    // A different request with the same key must not get the stored response.
    let other = post(second.local_addr(), "/dock/x", KEY, "ship").await;
    assert_eq!(other.summary(), "422 not-run idempotency-key-reused");
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn refused_key_in_progress_or_cut() {
    let target = Target::spawn(|_| vec![Step::Sleep(150), Step::Close]).await;
    let fleet = Fleet::with_targets(json!({}), &[&target], 8);
    let (first, control) = entry(&fleet).await;
    let cut = tokio::spawn(post(first.local_addr(), "/dock/x", KEY, "boat"));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    let (second, _) = entry_out_of_service(&fleet, &control).await;
    let again = send(&second).await;
    assert_eq!(again.summary(), "504 unknown idempotency-key-in-progress");
    assert!(again.header("retry-after").is_some());
    cut.await.unwrap();
    eventually("the key is settled", || control.settled().len() == 1).await;
    let (second, _) = entry_out_of_service(&fleet, &control).await;
    let again = send(&second).await.summary();
    assert_eq!(again, "502 unknown idempotency-key-outcome-unknown");
}

#[tokio::test]
async fn refused_key_that_cannot_be_looked_up() {
    let target = Target::ok("own").await;
    let fleet = Fleet::with_targets(json!({}), &[&target], 8);
    for behaviour in [Behaviour::Refuses, Behaviour::Hangs] {
        let (second, control) = entry_out_of_service(&fleet, &FakeControl::default()).await;
        *control.look_up_behaviour.lock().unwrap() = behaviour;
        let reply = send(&second).await;
        assert_eq!(reply.summary(), NOT_LOOKED_UP);
        assert!(reply.header("retry-after").is_some());
        // Requests that have no key or are idempotent are rejected without a
        // lookup.
        assert_eq!(
            get(second.local_addr(), "/dock/x", "").await.summary(),
            NOT_IN_SERVICE
        );
        let idempotent = format!("{KEY}celerycleat-idempotent: true\r\n");
        let reply = post(second.local_addr(), "/dock/x", &idempotent, "boat").await;
        assert_eq!(reply.summary(), NOT_IN_SERVICE);
    }
    assert_eq!(target.count(), 0);
}

#[tokio::test]
async fn refused_key_whose_claim_fails() {
    let target = Target::ok("own").await;
    let fleet = Fleet::with_targets(json!({"deadline_ms": 300}), &[&target], 8);
    for behaviour in [Behaviour::Refuses, Behaviour::Hangs] {
        let (entry, control) = entry(&fleet).await;
        *control.claim_behaviour.lock().unwrap() = Behaviour::Refuses;
        *control.look_up_behaviour.lock().unwrap() = behaviour;
        assert_eq!(send(&entry).await.summary(), NOT_LOOKED_UP);
    }
    // The results of the claim and of its withdrawal are both lost.
    let (entry, control) = entry(&fleet).await;
    *control.claim_behaviour.lock().unwrap() = Behaviour::LosesReply;
    *control.settle_behaviour.lock().unwrap() = Behaviour::Refuses;
    let reply = send(&entry).await.summary();
    assert_eq!(reply, "504 unknown idempotency-key-in-progress");
    assert_eq!(target.count(), 0);
}

#[tokio::test]
async fn refused_key_of_a_request_not_read_whole() {
    let target = Target::ok("own").await;
    let terms = json!({"body_limit_bytes": 4});
    let mut fleet = Fleet::with_targets(terms, &[&target], 8);
    let small = Limits {
        request_memory_bytes: 2,
        ..limits()
    };
    let control = Arc::new(FakeControl::default());
    let full = entry_with(&fleet, Arc::clone(&control), "e2", &["e1"], small).await;
    let first = entry_with(&fleet, Arc::clone(&control), "e1", &["e1"], limits()).await;
    let send_all = async || {
        let address = first.local_addr();
        let large = post(address, "/dock/x", KEY, "boats").await;
        let bad = format!("{KEY}celerycleat-deadline-ms: 0\r\n");
        let bad = post(address, "/dock/x", &bad, "boat").await;
        let full = send(&full).await;
        [large.summary(), bad.summary(), full.summary()]
    };
    let free = [
        "413 not-run body-too-large",
        "400 not-run bad-deadline",
        "503 not-run memory-full",
    ];
    assert_eq!(send_all().await, free);
    assert_eq!(send(&first).await.status, 200);
    eventually("the key is settled", || control.settled().len() == 1).await;
    let unknown = "502 unknown idempotency-key-outcome-unknown";
    assert_eq!(send_all().await, [unknown; 3]);
    fleet.configure(&[("other", json!({}))]);
    first.update_routes(&fleet.world);
    assert_eq!(send(&first).await.summary(), unknown);
    assert_eq!(target.count(), 1);
}
