//! A wave and a move over real daemons, ordered through the command line.

mod support;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cleat_fakes::{PlatformOptions, StandInPlatform};
use http::Method;
use serde_json::{Value, json};
use support::{Call, Fleet, example_config, outcome_of, patiently, send_call};

const DOCK: Call<'static> = Call {
    method: support::CallMethod::Get,
    path: "/dock/tide?bytes=100",
    key: None,
};

/// Three instances in `runners`, one in `spare`, and a platform.
fn config(platform: &StandInPlatform) -> Value {
    let mut config = example_config(500);
    config["pools"]["runners"]["maintenance"] =
        json!({"probation_s": 1, "drain_s": 20, "reboot_s": 20});
    config["pools"]["spare"] = json!({"instances": {"r4": {"data_centre": "dc1", "rack": "k4"}}});
    config["platform"] = json!({"address": platform.address()});
    config
}

/// Runs the command line against every daemon that is left.
async fn command(fleet: &Fleet, words: &str) -> ExitCode {
    let mut line = vec!["celerycleat".to_owned()];
    for daemon in fleet.daemons.values() {
        line.extend(["--server".to_owned(), daemon.operators.to_string()]);
    }
    line.extend(words.split_whitespace().map(str::to_owned));
    let run = tokio::task::spawn_blocking(move || celerycleat::run(&line));
    run.await.expect("the command ends")
}

async fn wave(fleet: &Fleet) -> Value {
    patiently("the waves to be shown", async || {
        for name in fleet.names() {
            let shown = fleet
                .operator(&name, Method::GET, "/maintenance", &Value::Null)
                .await;
            if let Some((200, body)) = shown {
                return Some(body["waves"][0].clone());
            }
        }
        None
    })
    .await
}

fn steps(wave: &Value) -> Vec<String> {
    let instances = wave["instances"].as_array().into_iter().flatten();
    let steps = instances.filter_map(|instance| instance["step"].as_str());
    steps.map(str::to_owned).collect()
}

fn away(wave: &Value) -> usize {
    let steps = steps(wave);
    let away = |step: &&String| !matches!(step.as_str(), "waiting" | "done" | "skipped");
    steps.iter().filter(away).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_survives_its_leader_and_lost_answers() {
    let platform = StandInPlatform::bind(PlatformOptions::default())
        .await
        .expect("a platform");
    let mut fleet = Fleet::start(3, 3).await;
    let (status, _) = fleet.configure("e1", 0, &config(&platform)).await;
    assert_eq!(status, 200);
    let mut targets = Vec::new();
    for i in 1..=3 {
        targets.push(fleet.target(&format!("t{i}"), i, "e1").await);
    }
    for name in fleet.names() {
        fleet.call_until(&name, "answered", DOCK).await;
    }
    let leader = fleet.leader().await;
    let entry = fleet.names().into_iter().find(|name| *name != leader);
    let entry = fleet.daemons[&entry.expect("a follower")].callers;
    let ended = Arc::new(AtomicBool::new(false));
    let caller = tokio::spawn({
        let ended = ended.clone();
        async move {
            let mut calls = 0;
            while !ended.load(Ordering::SeqCst) {
                let slow = Call::get("/dock/tide?bytes=100&sleep_ms=50");
                let answer = send_call(entry, slow).await.expect("an answer");
                // Without a leader an entry may be out of service: not run.
                assert_ne!(outcome_of(&answer), "unknown");
                calls += 1;
            }
            calls
        }
    });

    platform.lose_answers(3);
    let start = "maintenance start runners --command-id w-1";
    assert_eq!(command(&fleet, start).await, ExitCode::SUCCESS);
    patiently("the first reboot", async || {
        (1..=3)
            .any(|i| platform.boots(&format!("r{i}")) > 0)
            .then_some(())
    })
    .await;
    fleet.daemons[&leader].kill();
    fleet.daemons.shift_remove(&leader);
    // Sent again it gets its first answer and starts nothing.
    assert_eq!(command(&fleet, start).await, ExitCode::SUCCESS);
    let other = "maintenance start runners --command-id w-2";
    assert_eq!(command(&fleet, other).await, ExitCode::from(1));
    patiently("the wave to end", async || {
        let wave = wave(&fleet).await;
        assert!(away(&wave) <= 1, "over budget: {wave}");
        (wave["state"] == "ended").then_some(())
    })
    .await;
    assert_eq!(steps(&wave(&fleet).await), ["done", "done", "done"]);
    for i in 1..=3 {
        assert_eq!(platform.boots(&format!("r{i}")), 1, "r{i}");
    }
    ended.store(true, Ordering::SeqCst);
    assert!(caller.await.expect("nothing was cut off") > 0);
    assert_eq!(
        command(&fleet, "maintenance status").await,
        ExitCode::SUCCESS
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn move_ends_in_the_other_pool_on_every_instance() {
    let platform = StandInPlatform::bind(PlatformOptions::default())
        .await
        .expect("a platform");
    let fleet = Fleet::start(3, 3).await;
    let (status, _) = fleet.configure("e1", 0, &config(&platform)).await;
    assert_eq!(status, 200);
    let t1 = fleet.target("t1", 1, "e2").await;
    let _t2 = fleet.target("t2", 2, "e2").await;
    for name in fleet.names() {
        fleet.call_until(&name, "answered", DOCK).await;
    }
    assert_eq!(
        command(&fleet, "instance move r9 spare").await,
        ExitCode::from(1)
    );
    assert_eq!(
        command(&fleet, "instance move r1 spare").await,
        ExitCode::SUCCESS
    );
    assert_eq!(
        command(&fleet, "instance move r2 spare").await,
        ExitCode::from(1)
    );
    for name in fleet.names() {
        patiently("the move to end", async || {
            let shown = fleet
                .operator(&name, Method::GET, "/instances", &Value::Null)
                .await;
            let (_, body) = shown?;
            let instances = body["instances"].as_array()?.clone();
            let moved = instances.iter().find(|i| i["name"] == "r1")?;
            (moved["pool"] == "spare").then_some(())
        })
        .await;
    }
    let before = t1.counts().received;
    for name in fleet.names() {
        let answer = fleet.call(&name, DOCK).await.expect("an answer");
        assert_eq!(outcome_of(&answer), "answered");
    }
    assert_eq!(t1.counts().received, before);
}
