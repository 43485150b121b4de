//! The recorded traces lead to their expected outcomes, and each expected outcome
//! detects that the protection it covers is disabled.

use std::path::Path;

use cleat_decide::Protections;

use engine::Engine;
use report::Statistics;
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

fn failures(name: &str, protections: Protections) -> Vec<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    report::check(&folder.join(name), protections)
        .expect("the trace is valid")
        .failures
}

fn assert_detects(name: &str, protections: Protections, failure: &str) {
    let failures = failures(name, protections);
    assert!(
        failures.iter().any(|found| found.contains(failure)),
        "{failures:?}"
    );
}

#[test]
fn replay_all_traces() {
    let paths = trace::all_paths();
    assert!(paths.len() >= 9);
    for path in paths {
        let checked = report::check(&path, Protections::ALL).unwrap();
        assert!(checked.statistics.requests > 1_000);
        assert_eq!(checked.failures, Vec::<String>::new(), "{}", path.display());
    }
}

#[test]
fn replay_without_fair_queue() {
    let off = Protections {
        fair_queue: false,
        ..Protections::ALL
    };
    assert_detects("burst-one-school.jsonl", off, "p99 of school-3");
    assert_detects("overnight-batch.jsonl", off, "not good % of desk");
}

#[test]
fn replay_without_deadline() {
    let off = Protections {
        deadline: false,
        ..Protections::ALL
    };
    assert_detects(
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
    assert_detects("burst-over-quota.jsonl", off, "refused over quota: 0");
}

#[test]
fn replay_without_spread() {
    let off = Protections {
        retry_jitter: false,
        ..Protections::ALL
    };
    assert_detects("burst-over-quota.jsonl", off, "returns in one second");
}

#[test]
fn replay_without_at_most_once() {
    let off = Protections {
        at_most_once: false,
        ..Protections::ALL
    };
    assert_detects("third-cutting.jsonl", off, "at most one run");
}

#[test]
fn replay_without_share_cap() {
    let off = Protections {
        slot_limit: false,
        ..Protections::ALL
    };
    assert_detects("wave-vanishing-targets.jsonl", off, "over its slots");
}

#[test]
fn replay_without_ejection() {
    let off = Protections {
        ejection: false,
        ..Protections::ALL
    };
    assert_detects("third-failing.jsonl", off, "not good % of bookings");
    assert_detects("slow-third.jsonl", off, "p99 ms of tides");
}

#[test]
fn replay_without_retry_budget() {
    // Ejection alone keeps the number of retries low, so it is disabled too: only
    // the budget limits retries when failures are too evenly spread for ejection.
    let off = Protections {
        retry_budget: false,
        ejection: false,
        ..Protections::ALL
    };
    assert_detects("third-failing-reads.jsonl", off, "tries per request");
    let budget_alone = Protections {
        ejection: false,
        ..Protections::ALL
    };
    let found = failures("third-failing-reads.jsonl", budget_alone);
    assert!(
        !found.iter().any(|failure| failure.contains("tries")),
        "{found:?}"
    );
}

fn statistics(name: &str, policy: Policy) -> Statistics {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let trace = Trace::read(&folder.join(name)).expect("the trace is valid");
    let statistics = report::statistics(&Engine::run(&trace, policy, Protections::ALL));
    println!("{name} {policy:?} {}", statistics.summary());
    statistics
}

#[test]
fn replay_choice_beats_round_robin_and_random() {
    let slow = statistics("slow-third.jsonl", Policy::Product);
    let failing = statistics("third-failing.jsonl", Policy::Product);
    for policy in [Policy::RoundRobin, Policy::Random] {
        let other = statistics("slow-third.jsonl", policy);
        assert!(slow.p99_ms["tides"] < other.p99_ms["tides"] / 2.0);
        let other = statistics("third-failing.jsonl", policy);
        assert!(failing.good_percent > other.good_percent + 10.0);
    }
}
