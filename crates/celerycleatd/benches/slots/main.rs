//! Measures slots lent by demand against static parts, in one run, and what
//! the messages cost: the figures of docs/design/slots.md. Prints one JSON line
//! a load.
//!
//! `cargo bench -p celerycleatd --bench slots [-- waits|bytes]`
//!
//! A target that takes no more connections than it has slots leaves each
//! instance its static part of both.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use cleat_fakes::{LoadOptions, LoadReport, Pace, StandInTarget, TargetOptions, run_load};
use http::Method;
use serde_json::{Value, json};
use support::{Fleet, example_config, patiently};

const SLOTS: u64 = 8;
const DEADLINE_MS: u64 = 2_000;
/// What is measured of each load.
const WINDOW: Duration = Duration::from_secs(10);
/// Until a fleet is quiet.
const SETTLE: Duration = Duration::from_secs(3);
/// More connections than requests that may be under way.
const CONNECTIONS: u32 = 256;

/// How a target's slots are shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Static,
    Demand,
}

impl Way {
    fn connections(self) -> u64 {
        match self {
            Way::Static => SLOTS,
            Way::Demand => 64,
        }
    }
}

/// Where the requests come in.
#[derive(Debug, Clone, Copy)]
enum Spread {
    One,
    All,
}

/// One load.
struct Round {
    targets: usize,
    work: Duration,
    /// As a part of what all targets can do.
    load: f64,
    spread: Spread,
    way: Way,
}

fn main() {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    let run = |name: &str| {
        let named = wanted.iter().any(|w| w == name);
        named || wanted.iter().all(|w| w == "--bench")
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        if run("waits") {
            waits().await;
        }
        if run("bytes") {
            bytes().await;
        }
    });
}

/// Refusals and latency with three instances and one target.
async fn waits() {
    let fleet = fleet(3).await;
    for (spread, load) in [
        (Spread::One, 0.3),
        (Spread::One, 0.6),
        (Spread::One, 0.8),
        (Spread::All, 0.7),
    ] {
        for way in [Way::Static, Way::Demand] {
            let round = Round {
                targets: 1,
                work: Duration::from_millis(50),
                load,
                spread,
                way,
            };
            round.run(&fleet).await;
        }
    }
}

/// Bytes between nine instances with fifty targets, idle and loaded.
async fn bytes() {
    let fleet = fleet(9).await;
    for (spread, load) in [
        (Spread::All, 0.0),
        (Spread::All, 0.5),
        (Spread::One, 0.3),
        (Spread::All, 0.8),
    ] {
        for way in [Way::Static, Way::Demand] {
            let round = Round {
                targets: 50,
                work: Duration::from_millis(500),
                load,
                spread,
                way,
            };
            round.run(&fleet).await;
        }
    }
}

async fn fleet(count: usize) -> Fleet {
    let fleet = Fleet::start(count, 3).await;
    let (status, body) = fleet.configure("e1", 0, &example_config(DEADLINE_MS)).await;
    assert_eq!(status, 200, "{body}");
    fleet
}

impl Round {
    async fn run(self, fleet: &Fleet) {
        let mut targets = Vec::new();
        for i in 0..self.targets {
            targets.push(self.target(fleet, i).await);
        }
        for name in fleet.names() {
            patiently("every target to be known", async || {
                let answer = fleet
                    .operator(&name, Method::GET, "/status", &Value::Null)
                    .await;
                (answer?.1["targets"] == json!(self.targets)).then_some(())
            })
            .await;
        }
        tokio::time::sleep(SETTLE).await;
        let before = sent(fleet).await;
        let reports = self.send(fleet).await;
        let after = sent(fleet).await;
        self.print(&reports, &before, &after);
        let most = targets.iter().map(|t| t.counts().most_in_progress).max();
        assert!(most.unwrap_or(0) <= SLOTS, "{most:?}");
        for target in &mut targets {
            target.leave().await;
        }
    }

    async fn target(&self, fleet: &Fleet, i: usize) -> StandInTarget {
        let place = i % 3 + 1;
        let options = TargetOptions {
            name: format!("{:?}{}-{i}", self.way, self.load).into(),
            instance: format!("r{place}").into(),
            data_centre: format!("dc{place}").into(),
            announce: fleet.daemons.values().map(|d| d.targets).collect(),
            slots: SLOTS,
            connections: self.way.connections(),
            record_runs: false,
            ..TargetOptions::default()
        };
        StandInTarget::bind(options).await.expect("a target")
    }

    /// Requests a second over all instances.
    fn rate(&self) -> f64 {
        let slots = (self.targets as f64) * (SLOTS as f64);
        slots / self.work.as_secs_f64() * self.load
    }

    async fn send(&self, fleet: &Fleet) -> Vec<LoadReport> {
        if self.load == 0.0 {
            tokio::time::sleep(WINDOW).await;
            return Vec::new();
        }
        let addresses: Vec<_> = match self.spread {
            Spread::One => vec![fleet.daemons["e2"].callers],
            Spread::All => fleet.daemons.values().map(|d| d.callers).collect(),
        };
        let rate = self.rate() / addresses.len() as f64;
        let loads = addresses.into_iter().map(|address| {
            tokio::spawn(run_load(LoadOptions {
                address,
                path: "/dock/work".into(),
                work: self.work,
                connections: CONNECTIONS,
                pace: Pace::Open(rate),
                duration: WINDOW,
                ..LoadOptions::default()
            }))
        });
        let loads: Vec<_> = loads.collect();
        let mut reports = Vec::new();
        for load in loads {
            reports.push(load.await.expect("a report"));
        }
        reports
    }

    fn print(&self, reports: &[LoadReport], before: &[u64], after: &[u64]) {
        let sum = |status: u16| {
            let count = |r: &LoadReport| r.statuses.get(&status).copied().unwrap_or(0);
            reports.iter().map(count).sum::<u64>()
        };
        let p99 = reports.iter().map(|r| r.latency.p99_us / 1_000.0);
        let p99_ms = p99.fold(0.0, f64::max);
        let seconds = reports.iter().map(|r| r.seconds);
        let seconds = seconds.fold(WINDOW.as_secs_f64(), f64::max);
        let rates = before.iter().zip(after);
        let rates: Vec<_> = rates
            .map(|(before, after)| ((after - before) as f64 / seconds).round())
            .collect();
        let line = json!({
            "way": format!("{:?}", self.way), "spread": format!("{:?}", self.spread),
            "instances": before.len(), "targets": self.targets, "load": self.load,
            "per_second": self.rate(), "sent": reports.iter().map(|r| r.sent).sum::<u64>(),
            "ok": sum(200), "refused": sum(503), "worst_p99_ms": p99_ms,
            "sent_bytes_per_second": rates,
        });
        println!("{line}");
    }
}

/// Bytes each instance has sent to others so far.
async fn sent(fleet: &Fleet) -> Vec<u64> {
    let mut sent = Vec::new();
    for name in fleet.names() {
        let path = "/metrics-snapshot";
        let answer = fleet.operator(&name, Method::GET, path, &Value::Null).await;
        let metrics = answer.expect("an answer").1;
        sent.push(metrics["link.sent_bytes"].as_u64().unwrap_or(0));
    }
    sent
}
