//! Replays recorded traces and compares the results with their expected outcomes.
//! A trace that revealed a failure is kept.

mod support;

use support::replay;

fn check(trace: &str, expected: &str, budgets: [u64; 2]) {
    let actual = replay(trace, budgets);
    let actual = serde_json::to_string_pretty(&actual).expect("an outcome can be written as JSON");
    assert_eq!(actual.trim(), expected.trim());
}

#[test]
fn trace_rack_fails_during_wave() {
    check(
        include_str!("../traces/rack-fails.jsonl"),
        include_str!("../traces/rack-fails.outcome.json"),
        [3, 2],
    );
}

#[test]
fn trace_concurrent_operators() {
    check(
        include_str!("../traces/operators-race.jsonl"),
        include_str!("../traces/operators-race.outcome.json"),
        [2, 2],
    );
}

#[test]
fn trace_pool_withdrawn() {
    check(
        include_str!("../traces/pool-withdrawn.jsonl"),
        include_str!("../traces/pool-withdrawn.outcome.json"),
        [2, 2],
    );
}
