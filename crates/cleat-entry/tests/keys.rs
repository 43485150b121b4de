//! Tests that requests with an idempotency key run at most once, despite
//! failures of control and of entries.
#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cleat_entry::Entry;
use cleat_world::{ClaimKey, KeyTable, Settlement};
use serde_json::json;
use support::{Behaviour, FakeControl, Fleet, Step, Target, entry, entry_with, eventually, post};

const KEY: &str = "idempotency-key: k1\r\ncelerycleat-caller: school\r\n";

async fn send(entry: &Entry<FakeControl>) -> support::Reply {
    post(entry.local_addr(), "/dock/x", KEY, "boat").await
}

/// Two entries with the same control.
async fn two_entries(fleet: &Fleet) -> (Entry<FakeControl>, Entry<FakeControl>, Arc<FakeControl>) {
    let control = Arc::new(FakeControl::default());
    let bind = async |name| {
        entry_with(
            fleet,
            Arc::clone(&control),
            name,
            &["e1", "e2"],
            support::limits(),
        )
        .await
    };
    (bind("e1").await, bind("e2").await, Arc::clone(&control))
}

fn settled(control: &FakeControl) -> Vec<Settlement> {
    control.settled()
}

#[tokio::test]
async fn key_sent_again_replays() {
    let answer = "HTTP/1.1 201 Created\r\ncontent-length: 4\r\nx-boat: 7\r\n\r\nours";
    let target = Target::spawn(move |_| vec![Step::write(answer)]).await;
    let (first, second, _) = two_entries(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let reply = send(&first).await;
    assert_eq!(
        (reply.status, reply.header("celerycleat-replayed")),
        (201, None)
    );
    for entry in [&second, &first] {
        let again = send(entry).await;
        assert_eq!(again.status, 201);
        assert_eq!(again.outcome(), "answered");
        assert_eq!(again.header("x-boat"), Some("7"));
        assert_eq!(again.header("celerycleat-replayed"), Some("true"));
        assert_eq!(again.text(), "ours");
    }
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn key_sent_concurrently_to_both_entries() {
    let target = Target::spawn(|_| Step::slow_ok(150, "own")).await;
    let (first, second, _) = two_entries(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let replies = tokio::join!(send(&first), send(&second), send(&first), send(&second));
    for reply in [replies.0, replies.1, replies.2, replies.3] {
        assert_eq!((reply.status, reply.text().as_str()), (200, "own"));
    }
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn key_of_another_request() {
    let target = Target::ok("own").await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    send(&entry).await;
    let address = entry.local_addr();
    let other = post(address, "/dock/x", KEY, "ship").await;
    assert_eq!(other.summary(), "422 not-run idempotency-key-reused");
    let other = post(address, "/dock/x?y=1", KEY, "boat").await;
    assert_eq!(other.summary(), "422 not-run idempotency-key-reused");
    let school = "idempotency-key: k1\r\ncelerycleat-caller: other\r\n";
    assert_eq!(post(address, "/dock/x", school, "ship").await.status, 200);
    assert_eq!(target.count(), 2);
}

#[tokio::test]
async fn key_of_a_cut_request_never_runs_again() {
    let target = Target::spawn(|_| vec![Step::Close]).await;
    let (first, second, _) = two_entries(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    assert_eq!(send(&first).await.summary(), "502 unknown target-cut");
    for entry in [&second, &first] {
        let again = send(entry).await.summary();
        assert_eq!(again, "502 unknown idempotency-key-outcome-unknown");
    }
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn key_of_a_refused_request_runs_later() {
    let refusing = Target::refusing().await;
    let good = Target::ok("own").await;
    let mut fleet = Fleet::with_targets(json!({"retry": {"tries": 1}}), &[&refusing], 8);
    let (first, second, control) = two_entries(&fleet).await;
    assert_eq!(
        send(&first).await.summary(),
        "503 not-run targets-unreachable"
    );
    eventually("the key is settled", || {
        settled(&control) == [Settlement::NotRun]
    })
    .await;
    fleet.withdraw("t0");
    first.update_routes(&fleet.world);
    assert_eq!(send(&first).await.summary(), "503 not-run no-target");
    fleet.announce("t0", good.address, 8);
    second.update_routes(&fleet.world);
    assert_eq!(send(&second).await.status, 200);
    assert_eq!(good.count(), 1);
}

#[tokio::test]
async fn key_settled_late_leaves_a_later_claim_alone() {
    let refusing = Target::refusing().await;
    let slow = Target::spawn(|_| Step::slow_ok(300, "own")).await;
    let mut fleet = Fleet::with_targets(json!({"retry": {"tries": 1}}), &[&refusing], 8);
    let (first, second, control) = two_entries(&fleet).await;
    let refused = send(&first).await.summary();
    assert_eq!(refused, "503 not-run targets-unreachable");
    eventually("the key is settled", || settled(&control).len() == 1).await;
    fleet.withdraw("t0");
    fleet.announce("t1", slow.address, 8);
    first.update_routes(&fleet.world);
    second.update_routes(&fleet.world);
    let running = tokio::spawn(post(first.local_addr(), "/dock/x", KEY, "boat"));
    eventually("the request is at the target", || slow.in_progress() == 1).await;
    let late = control.settlements.lock().unwrap()[0].clone();
    control.table.lock().unwrap().settle(late);
    let again = send(&second).await;
    assert_eq!(again.header("celerycleat-replayed"), Some("true"));
    assert_eq!(running.await.unwrap().status, 200);
    assert_eq!(slow.count(), 1);
}

#[tokio::test]
async fn key_not_claimed_sends_nothing() {
    let target = Target::ok("own").await;
    let terms = json!({"deadline_ms": 300});
    // A lookup or a withdrawn claim is needed to prove that the key was free.
    let not_run = "503 not-run idempotency-key-not-claimed";
    let unknown = "504 unknown idempotency-key-not-looked-up";
    let cases = [
        (Behaviour::Refuses, not_run),
        (Behaviour::LosesReply, not_run),
        (Behaviour::Hangs, unknown),
    ];
    for (behaviour, summary) in cases {
        let (entry, control) = entry(&Fleet::with_targets(terms.clone(), &[&target], 8)).await;
        *control.claim_behaviour.lock().unwrap() = behaviour;
        let reply = send(&entry).await;
        assert_eq!(reply.summary(), summary, "{behaviour:?}");
        assert!(reply.header("retry-after").is_some());
        assert_eq!(target.count(), 0);
        // A claim that may have been committed is withdrawn.
        if behaviour != Behaviour::Refuses {
            eventually("the key is settled", || {
                settled(&control) == [Settlement::NotRun]
            })
            .await;
        }
        *control.claim_behaviour.lock().unwrap() = Behaviour::Works;
        assert_eq!(send(&entry).await.status, 200);
        assert_eq!(target.count(), 1);
        target.clear_requests();
    }
}

#[tokio::test]
async fn key_not_claimed_leaves_the_first_claim_alone() {
    let target = Target::spawn(|_| Step::slow_ok(400, "own")).await;
    let (entry, control) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let address = entry.local_addr();
    let first = tokio::spawn(post(address, "/dock/x", KEY, "boat"));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    *control.claim_behaviour.lock().unwrap() = Behaviour::LosesReply;
    let hurried = format!("{KEY}celerycleat-deadline-ms: 100\r\n");
    let second = post(address, "/dock/x", &hurried, "boat").await;
    assert_eq!(second.summary(), "504 unknown idempotency-key-in-progress");
    *control.claim_behaviour.lock().unwrap() = Behaviour::Works;
    assert_eq!(first.await.unwrap().status, 200);
    assert_eq!(
        send(&entry).await.header("celerycleat-replayed"),
        Some("true")
    );
    assert_eq!(target.count(), 1);
    assert!(!settled(&control).contains(&Settlement::NotRun));
}

#[tokio::test]
async fn key_settlement_retried_until_committed() {
    let target = Target::ok("own").await;
    let (entry, control) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    *control.settle_behaviour.lock().unwrap() = Behaviour::Refuses;
    assert_eq!(
        send(&entry).await.status,
        200,
        "the response does not wait for the settlement"
    );
    let again = tokio::spawn(post(entry.local_addr(), "/dock/x", KEY, "boat"));
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert!(!again.is_finished());
    *control.settle_behaviour.lock().unwrap() = Behaviour::Works;
    assert_eq!(
        again.await.unwrap().header("celerycleat-replayed"),
        Some("true")
    );
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn key_of_an_answer_too_large_to_keep() {
    let target = Target::spawn(|_| Step::ok(&"x".repeat(20_000))).await;
    let (entry, _) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    assert_eq!(send(&entry).await.body.len(), 20_000);
    let again = send(&entry).await.summary();
    assert_eq!(again, "502 unknown idempotency-key-answer-not-kept");
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn key_refused_when_the_table_is_full() {
    let target = Target::ok("own").await;
    let (entry, control) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    control.terms.lock().unwrap().max_keys = 0;
    assert_eq!(
        send(&entry).await.summary(),
        "503 not-run idempotency-keys-full"
    );
    assert_eq!(target.count(), 0);
}

#[tokio::test]
async fn key_of_an_idempotent_request_not_claimed() {
    let target = Target::ok("own").await;
    let (entry, control) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let headers = format!("{KEY}celerycleat-idempotent: true\r\n");
    assert_eq!(
        post(entry.local_addr(), "/dock/x", &headers, "boat")
            .await
            .status,
        200
    );
    assert_eq!(control.claims.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn key_request_continues_when_its_caller_disconnects() {
    let target = Target::spawn(|_| Step::slow_ok(150, "own")).await;
    let (entry, control) = entry(&Fleet::with_targets(json!({}), &[&target], 8)).await;
    let call = tokio::spawn(post(entry.local_addr(), "/dock/x", KEY, "boat"));
    eventually("the request is at the target", || target.in_progress() == 1).await;
    call.abort();
    eventually("the key is settled", || settled(&control).len() == 1).await;
    let again = send(&entry).await;
    assert_eq!((again.status, again.text().as_str()), (200, "own"));
    assert_eq!(target.count(), 1);
}

/// Runs an entry in its own runtime and kills it with all its tasks as soon as
/// `until` holds.
fn kill_entry_when(fleet: &Fleet, control: &Arc<FakeControl>, until: impl Fn() -> bool) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let entry = runtime.block_on(entry_with(
        fleet,
        Arc::clone(control),
        "e1",
        &["e1", "e2"],
        support::limits(),
    ));
    let address = entry.local_addr();
    runtime.spawn(post(address, "/dock/x", KEY, "boat"));
    while !until() {
        std::thread::sleep(Duration::from_millis(5));
    }
    runtime.shutdown_background();
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_an_entry_killed_before_the_answer() {
    let target = Target::spawn(|_| Step::slow_ok(500, "own")).await;
    let fleet = Fleet::with_targets(json!({"deadline_ms": 300}), &[&target], 8);
    let control = Arc::new(FakeControl::default());
    tokio::task::block_in_place(|| kill_entry_when(&fleet, &control, || target.in_progress() == 1));
    let names = ["e1", "e2"];
    let other = entry_with(
        &fleet,
        Arc::clone(&control),
        "e2",
        &names,
        support::limits(),
    )
    .await;
    let again = send(&other).await.summary();
    assert_eq!(again, "504 unknown idempotency-key-in-progress");
    // The killed entry restarts, which ends the claims of its earlier
    // incarnation.
    control
        .table
        .lock()
        .unwrap()
        .end_other_incarnations("e1", 2);
    let again = send(&other).await.summary();
    assert_eq!(again, "502 unknown idempotency-key-outcome-unknown");
    assert_eq!(target.count(), 1);
}

#[tokio::test]
async fn key_of_an_entry_killed_between_claim_and_send() {
    let target = Target::ok("own").await;
    let fleet = Fleet::with_targets(json!({"deadline_ms": 300}), &[&target], 8);
    let (entry, control) = entry(&fleet).await;
    let claim = ClaimKey {
        key: KeyTable::scoped("dock", "school", "k1"),
        digest: digest_of_request(&fleet).await,
        entry: "e9".into(),
        incarnation: 1,
        number: 0,
        settle_timeout_ms: 0,
    };
    let terms = *control.terms.lock().unwrap();
    control.table.lock().unwrap().claim(claim, terms, 0);
    // The hold of the claim has ended, and it is unknown whether the request
    // was sent.
    let again = send(&entry).await.summary();
    assert_eq!(again, "502 unknown idempotency-key-outcome-unknown");
    assert_eq!(target.count(), 0);
}

/// The digest that entries compute for the request of [`send`].
async fn digest_of_request(fleet: &Fleet) -> u64 {
    let (entry, control) = entry(fleet).await;
    *control.claim_behaviour.lock().unwrap() = Behaviour::Refuses;
    send(&entry).await;
    let digest = control.last_digest.lock().unwrap();
    digest.unwrap()
}
