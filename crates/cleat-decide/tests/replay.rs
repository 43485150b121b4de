//! The recorded traces end as stated, and each stated outcome notices the loss
//! of the protection that it is meant for.

use std::path::Path;

use cleat_decide::Protections;

use engine::Engine;
use report::Figures;
use request::Policy;
use trace::Trace;

#[path = "../examples/replay/engine.rs"]
mod engine;
#[path = "../examples/replay/entry.rs"]
mod entry;
#[path = "../examples/replay/report.rs"]
mod report;
#[path = "../examples/replay/request.rs"]
mod request;
#[path = "../examples/replay/target.rs"]
mod target;
#[path = "../examples/replay/trace.rs"]
mod trace;

fn faults(name: &str, protections: Protections) -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    report::check(&folder.join(name), protections)
        .expect("the trace is whole")
        .faults
}

fn assert_notices(name: &str, protections: Protections, fault: &str) {
    let faults = faults(name, protections);
    assert!(
        faults.iter().any(|found| found.contains(fault)),
        "{faults:?}"
    );
}

#[test]
fn replay_all_traces() {
    let paths = trace::folder();
    assert!(paths.len() >= 9);
    for path in paths {
        let checked = report::check(&path, Protections::ALL).unwrap();
        assert!(checked.figures.requests > 1_000);
        assert_eq!(checked.faults, Vec::<String>::new(), "{}", path.display());
    }
}

#[test]
fn replay_without_fair_queue() {
    let off = Protections {
        fair_queue: false,
        ..Protections::ALL
    };
    assert_notices("burst-one-school.jsonl", off, "p99 of school-3");
    assert_notices("overnight-batch.jsonl", off, "not good % of desk");
}

#[test]
fn replay_without_deadline() {
    let off = Protections {
        deadline: false,
        ..Protections::ALL
    };
    assert_notices(
        "burst-one-school.jsonl",
        off,
        "no answer after the deadline",
    );
}

#[test]
fn replay_without_quota() {
    let off = Protections {
        quota: false,
        ..Protections::ALL
    };
    assert_notices("burst-over-quota.jsonl", off, "refused over quota: 0");
}

#[test]
fn replay_without_spread() {
    let off = Protections {
        retry_jitter: false,
        ..Protections::ALL
    };
    assert_notices("burst-over-quota.jsonl", off, "returns in one second");
}

#[test]
fn replay_without_at_most_once() {
    let off = Protections {
        at_most_once: false,
        ..Protections::ALL
    };
    assert_notices("third-cutting.jsonl", off, "at most one run");
}

#[test]
fn replay_without_share_cap() {
    let off = Protections {
        slot_limit: false,
        ..Protections::ALL
    };
    assert_notices("wave-vanishing-targets.jsonl", off, "over its slots");
}

#[test]
fn replay_without_ejection() {
    let off = Protections {
        ejection: false,
        ..Protections::ALL
    };
    assert_notices("third-failing.jsonl", off, "not good % of bookings");
    assert_notices("slow-third.jsonl", off, "p99 ms of tides");
}

#[test]
fn replay_without_retry_budget() {
    // Ejection alone keeps retries few, so it is off too: the budget is what is
    // left when a failure is spread too thin to eject for.
    let off = Protections {
        retry_budget: false,
        ejection: false,
        ..Protections::ALL
    };
    assert_notices("third-failing-reads.jsonl", off, "tries per request");
    let budget_alone = Protections {
        ejection: false,
        ..Protections::ALL
    };
    let found = faults("third-failing-reads.jsonl", budget_alone);
    assert!(
        !found.iter().any(|fault| fault.contains("tries")),
        "{found:?}"
    );
}

fn figures(name: &str, policy: Policy) -> Figures {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let trace = Trace::read(&folder.join(name)).expect("the trace is whole");
    let figures = report::figures(&Engine::run(&trace, policy, Protections::ALL));
    println!("{name} {policy:?} {}", figures.summary());
    figures
}

#[test]
fn replay_choice_against_others() {
    let slow = figures("slow-third.jsonl", Policy::Product);
    let failing = figures("third-failing.jsonl", Policy::Product);
    for policy in [Policy::RoundRobin, Policy::Random] {
        let other = figures("slow-third.jsonl", policy);
        assert!(slow.p99_ms["tides"] < other.p99_ms["tides"] / 2.0);
        let other = figures("third-failing.jsonl", policy);
        assert!(failing.good_percent > other.good_percent + 10.0);
    }
}
