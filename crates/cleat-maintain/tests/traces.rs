//! Recorded traces replayed against their stated outcomes. A trace that once
//! failed stays.

mod support;

use support::replay;

fn check(trace: &str, outcome: &str, budgets: [u64; 2]) {
    let found = replay(trace, budgets);
    let found = serde_json::to_string_pretty(&found).expect("JSON");
    assert_eq!(found.trim(), outcome.trim());
}

#[test]
fn trace_wave_with_a_rack_failing_in_it() {
    check(
        include_str!("../traces/rack-fails.jsonl"),
        include_str!("../traces/rack-fails.outcome.json"),
        [3, 2],
    );
}

#[test]
fn trace_operators_racing() {
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
