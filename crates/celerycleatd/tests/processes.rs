//! The whole path with separate processes, and the main failures.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use cleat_fakes::fetch;
use http::{Method, Request, Response};
use http_body_util::Full;
use rustix::process::Signal;
use serde_json::Value;
use support::{Call, Fleet, example_config, outcome_of, patiently, send_call};

const DOCK: Call<'static> = Call {
    method: support::CallMethod::Get,
    path: "/dock/tide?bytes=1000",
    key: None,
};

async fn configured(count: usize, voters: usize) -> Fleet {
    let fleet = Fleet::start(count, voters).await;
    let (status, body) = fleet.configure("e1", 0, &example_config(2_000)).await;
    assert_eq!((status, &body["version"]), (200, &Value::from(1)));
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn request_served_through_any_instance() {
    let fleet = configured(3, 3).await;
    for name in fleet.names() {
        assert_eq!(fleet.version(&name).await, Some(1));
    }
    let t1 = fleet.target("t1", 1, "e2").await;
    let t2 = fleet.target("t2", 2, "e2").await;
    for name in fleet.names() {
        fleet.call_until(&name, "answered", DOCK).await;
        for _ in 0..20 {
            let answer = fleet.call(&name, DOCK).await.expect("an answer");
            assert_eq!(
                (answer.status().as_u16(), outcome_of(&answer)),
                (200, "answered")
            );
            assert_eq!(answer.body().len(), 1000);
        }
    }
    assert!(t1.counts().received > 0);
    assert!(t2.counts().received > 0);
    let unknown = fleet
        .call("e1", Call::get("/nothing/x"))
        .await
        .expect("an answer");
    assert_eq!(
        (unknown.status().as_u16(), outcome_of(&unknown)),
        (404, "not-run")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn target_that_left_gets_nothing_new() {
    let fleet = configured(3, 3).await;
    let mut t1 = fleet.target("t1", 1, "e1").await;
    let _t2 = fleet.target("t2", 2, "e3").await;
    for name in fleet.names() {
        fleet.call_until(&name, "answered", DOCK).await;
    }
    t1.leave().await;
    let before = t1.counts().received;
    for name in fleet.names() {
        for _ in 0..20 {
            let answer = fleet.call(&name, DOCK).await.expect("an answer");
            assert_eq!(outcome_of(&answer), "answered");
        }
    }
    assert_eq!(t1.counts().received, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_off_nothing() {
    let mut fleet = configured(3, 3).await;
    let _t1 = fleet.target("t1", 1, "e1").await;
    fleet.call_until("e2", "answered", DOCK).await;
    let address = fleet.daemons["e2"].callers;
    let stopping = Arc::new(AtomicBool::new(false));
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let stopping = stopping.clone();
        callers.spawn(async move {
            let slow = Call::get("/dock/tide?bytes=1000&sleep_ms=50");
            loop {
                let begun_before = !stopping.load(Ordering::SeqCst);
                match send_call(address, slow).await {
                    Some(answer) => assert!(matches!(outcome_of(&answer), "answered" | "not-run")),
                    // Only a call begun after the stop may find nobody.
                    None => {
                        assert!(!begun_before, "a request in progress was cut off");
                        return;
                    }
                }
            }
        });
    }
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    stopping.store(true, Ordering::SeqCst);
    fleet.daemons["e2"].signal(Signal::TERM);
    while let Some(caller) = callers.join_next().await {
        caller.expect("no request was cut off");
    }
    assert!(fleet.daemons["e2"].wait().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn config_raced_through_two_instances_one_wins() {
    let fleet = configured(3, 3).await;
    let (a, b) = (example_config(1_001), example_config(1_002));
    let (first, second) = tokio::join!(fleet.configure("e1", 1, &a), fleet.configure("e3", 1, &b));
    let (won, lost) = match first.0 {
        200 => (first, second),
        _ => (second, first),
    };
    assert_eq!((won.0, &won.1["version"]), (200, &Value::from(2)));
    assert_eq!((lost.0, &lost.1["winner"]), (409, &Value::from(2)));
    assert!(lost.1["winner_command_id"].is_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_nothing_accepted_is_lost() {
    let mut fleet = configured(3, 3).await;
    let _t1 = fleet.target("t1", 1, "e1").await;
    let leader = fleet.leader().await;
    fleet.daemons[&leader].kill();
    let rest: Vec<_> = fleet
        .names()
        .into_iter()
        .filter(|name| *name != leader)
        .collect();
    let (status, body) = fleet.configure(&rest[0], 1, &example_config(1_500)).await;
    assert_eq!((status, &body["version"]), (200, &Value::from(2)));
    fleet.start_daemon(&leader);
    fleet.wait_ready(&leader).await;
    assert_eq!(fleet.version(&leader).await, Some(2));
    for name in fleet.names() {
        fleet.call_until(&name, "answered", DOCK).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_frozen_never_serves_an_old_version() {
    let fleet = configured(4, 3).await;
    let _t1 = fleet.target("t1", 1, "e1").await;
    for name in fleet.names() {
        fleet.call_until(&name, "answered", DOCK).await;
    }
    // The service is withdrawn while e4 is frozen: once thawed, e4 must not
    // serve it a single time.
    fleet.daemons["e4"].signal(Signal::STOP);
    let mut without = example_config(2_000);
    without["services"] = serde_json::json!({"tides": {"pool": "runners"}});
    let (status, _) = fleet.configure("e2", 1, &without).await;
    assert_eq!(status, 200);
    let frozen = fleet.daemons["e4"].callers;
    let waiting = tokio::spawn(async move { send_call(frozen, DOCK).await });
    fleet.daemons["e4"].signal(Signal::CONT);
    for _ in 0..20 {
        let answer = fleet.call("e4", DOCK).await.expect("an answer");
        assert_eq!(outcome_of(&answer), "not-run");
    }
    let waited = waiting.await.expect("the call ends").expect("an answer");
    assert_eq!(outcome_of(&waited), "not-run");
    patiently("e4 to have version 2", async || {
        fleet.version("e4").await.filter(|version| *version == 2)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_instance_comes_back_and_votes_again() {
    let mut fleet = configured(3, 3).await;
    fleet.daemons["e2"].kill();
    std::fs::remove_dir_all(fleet.data_folder("e2")).expect("the folder was there");
    fleet.start_daemon("e2");
    fleet.wait_ready("e2").await;
    assert_eq!(fleet.version("e2").await, Some(1));
    patiently("e2 to vote again", async || {
        let answer = fleet
            .operator("e1", Method::GET, "/config/status", &Value::Null)
            .await;
        let instances = answer?.1["instances"].as_array()?.clone();
        let voters = instances.iter().filter(|i| i["votes"] == true).count();
        (voters == 3).then_some(())
    })
    .await;
    // Its vote counts: another voter may now fail.
    fleet.daemons["e3"].kill();
    let (status, body) = fleet.configure("e2", 1, &example_config(1_200)).await;
    assert_eq!((status, &body["version"]), (200, &Value::from(2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn key_sent_again_after_a_kill_of_the_leader_runs_once() {
    key_sent_again_after_a_kill(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_sent_again_after_a_kill_of_a_follower_runs_once() {
    key_sent_again_after_a_kill(false).await;
}

async fn key_sent_again_after_a_kill(of_leader: bool) {
    let mut fleet = configured(3, 3).await;
    let leader = fleet.leader().await;
    let mut names = fleet.names();
    names.sort_by_key(|name| (*name == leader) != of_leader);
    let others = names.split_off(1);
    let killed = &*names[0];
    let t1 = fleet.target("t1", 1, &others[0]).await;
    for name in fleet.names() {
        fleet.call_until(&name, "answered", DOCK).await;
    }
    let booking = Call::post("/dock/booking?sleep_ms=1500", "booking-7");
    let first = fleet.daemons[killed].callers;
    let cut = tokio::spawn(async move { send_call(first, booking).await });
    patiently("the booking to reach the target", async || {
        (t1.runs("booking-7") == 1).then_some(())
    })
    .await;
    fleet.daemons[killed].kill();
    assert!(cut.await.expect("the call ends").is_none());
    // Sent again at once, while there is no leader, and until one has decided.
    for name in &others {
        patiently("the key to be decided", async || {
            let again = hurried(fleet.daemons[name].callers, booking).await;
            let told = String::from_utf8_lossy(again.body()).into_owned();
            assert_eq!(outcome_of(&again), "unknown", "{told}");
            let decided = [
                "idempotency-key-in-progress",
                "idempotency-key-outcome-unknown",
            ];
            decided.iter().any(|kind| told.contains(kind)).then_some(())
        })
        .await;
    }
    assert_eq!(t1.runs("booking-7"), 1);
    // A key whose answer is known gets the first answer, on any instance.
    let quick = Call::post("/dock/booking?bytes=10", "booking-8");
    let mut bodies = Vec::new();
    for name in &others {
        let answer = patiently("the quick booking's answer", async || {
            let answer = fleet.call(name, quick).await?;
            (outcome_of(&answer) == "answered").then_some(answer)
        })
        .await;
        bodies.push(answer.into_body());
    }
    assert_eq!(bodies[0], bodies[1]);
    assert_eq!(t1.runs("booking-8"), 1);
}

/// A booking that allows less time than an election takes: without a leader
/// its claim is not decided.
async fn hurried(address: SocketAddr, booking: Call<'_>) -> Response<Bytes> {
    let req = Request::post(booking.path)
        .header("host", "instance")
        .header("idempotency-key", booking.key.expect("a key"))
        .header("celerycleat-deadline-ms", "300")
        .body(Full::new(Bytes::new()));
    let answer = fetch(address, req.expect("a request")).await;
    answer.expect("an answer")
}
