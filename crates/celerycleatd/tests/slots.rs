//! The cap of a target over all instances, with separate processes.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cleat_fakes::StandInTarget;
use rustix::process::Signal;
use support::{Call, Fleet, example_config, patiently, send_call};
use tokio::task::JoinSet;

/// The slots of the target.
const CAP: u64 = 8;
/// Requests at once through one instance: more than the cap.
const CALLERS: usize = 16;
/// How long a request may take.
const DEADLINE_MS: u64 = 1_000;
const QUICK: &str = "/dock/work?bytes=10&sleep_ms=30";
/// So long that one begun at the end of a lease outlives it by far.
const LONG: &str = "/dock/work?bytes=10&sleep_ms=700";
/// Longer than a lease and the longest request together.
const FREEZE: Duration = Duration::from_millis(4_000);
/// Enough for several leases to end.
const LEASES: Duration = Duration::from_millis(7_000);

/// Callers that call again and again until dropped.
struct Load {
    tasks: JoinSet<()>,
    stopping: Arc<AtomicBool>,
}

impl Load {
    fn start(address: SocketAddr, path: &'static str) -> Load {
        let stopping = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for _ in 0..CALLERS {
            let stopping = stopping.clone();
            tasks.spawn(async move {
                while !stopping.load(Ordering::SeqCst) {
                    if send_call(address, Call::get(path)).await.is_none() {
                        return;
                    }
                }
            });
        }
        Load { tasks, stopping }
    }

    async fn stop(self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.tasks.join_all().await;
    }
}

async fn fleet_with_target() -> (Fleet, StandInTarget) {
    let fleet = Fleet::start(3, 3).await;
    let (status, _) = fleet.configure("e1", 0, &example_config(DEADLINE_MS)).await;
    assert_eq!(status, 200);
    let target = fleet.target("t1", 1, "e1").await;
    for name in fleet.names() {
        fleet.call_until(&name, "answered", Call::get(QUICK)).await;
    }
    (fleet, target)
}

async fn wait_in_progress(target: &StandInTarget, count: u64) {
    patiently("requests in progress", async || {
        (target.counts().in_progress >= count).then_some(())
    })
    .await;
}

fn assert_cap(target: &StandInTarget) {
    let counts = target.counts();
    assert!(counts.most_in_progress <= CAP, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_load_at_one_instance_gets_all() {
    let (fleet, target) = fleet_with_target().await;
    for name in fleet.names() {
        let load = Load::start(fleet.daemons[&name].callers, QUICK);
        wait_in_progress(&target, CAP).await;
        load.stop().await;
        assert_cap(&target);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_load_at_all_keeps_cap() {
    let (fleet, target) = fleet_with_target().await;
    let addresses = fleet.daemons.values().map(|daemon| daemon.callers);
    let loads: Vec<_> = addresses.map(|a| Load::start(a, LONG)).collect();
    wait_in_progress(&target, CAP - 1).await;
    tokio::time::sleep(LEASES).await;
    for load in loads {
        load.stop().await;
    }
    assert_cap(&target);
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_lender_restarted_keeps_cap() {
    let (mut fleet, target) = fleet_with_target().await;
    let borrower = Load::start(fleet.daemons["e1"].callers, LONG);
    wait_in_progress(&target, CAP).await;
    // Both may have lent: what they lent is in use when they are back.
    for name in ["e2", "e3"] {
        fleet.daemons[name].kill();
        fleet.start_daemon(name);
        fleet.wait_ready(name).await;
        let load = Load::start(fleet.daemons[name].callers, LONG);
        tokio::time::sleep(LEASES).await;
        load.stop().await;
        assert_cap(&target);
    }
    borrower.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_borrower_killed_or_frozen_keeps_cap() {
    let (mut fleet, target) = fleet_with_target().await;
    let others = ["e1", "e2"].map(|name| fleet.daemons[name].callers);
    let borrower = Load::start(fleet.daemons["e3"].callers, LONG);
    wait_in_progress(&target, CAP).await;
    fleet.daemons["e3"].signal(Signal::STOP);
    let loads = others.map(|address| Load::start(address, LONG));
    tokio::time::sleep(FREEZE).await;
    fleet.daemons["e3"].signal(Signal::CONT);
    tokio::time::sleep(LEASES).await;
    assert_cap(&target);

    fleet.daemons["e3"].kill();
    borrower.stop().await;
    fleet.start_daemon("e3");
    fleet.wait_ready("e3").await;
    let again = Load::start(fleet.daemons["e3"].callers, LONG);
    tokio::time::sleep(LEASES).await;
    for load in loads.into_iter().chain([again]) {
        load.stop().await;
    }
    assert_cap(&target);
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_all_restarted_come_back() {
    let (mut fleet, target) = fleet_with_target().await;
    let borrower = Load::start(fleet.daemons["e1"].callers, LONG);
    wait_in_progress(&target, CAP).await;
    for name in fleet.names() {
        fleet.daemons[&name].kill();
    }
    borrower.stop().await;
    for name in fleet.names() {
        fleet.start_daemon(&name);
    }
    for name in fleet.names() {
        fleet.wait_ready(&name).await;
        let load = Load::start(fleet.daemons[&name].callers, QUICK);
        wait_in_progress(&target, CAP).await;
        load.stop().await;
    }
    assert_cap(&target);
}
