//! Conditions that begin, last and end.

use std::time::Duration;

use cleat_telemetry::{Condition, Outage};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn fail_tells_the_first_only() {
    let condition = Condition::default();
    let told: Vec<bool> = (0..200).map(|at| condition.fail(ms(at))).collect();
    assert!(told[0]);
    assert!(told[1..].iter().all(|first| !first));
}

#[test]
fn end_gives_the_count_once() {
    let condition = Condition::default();
    for at in 0..200 {
        condition.fail(ms(100 + at));
    }
    let outage = Outage {
        failures: 200,
        lasted: ms(900),
    };
    assert_eq!(condition.end(ms(1_000)), Some(outage));
    assert_eq!(condition.end(ms(1_001)), None);
    assert!(condition.fail(ms(1_002)), "the next one is the first again");
}

#[test]
fn end_without_failures_says_nothing() {
    assert_eq!(Condition::default().end(ms(1)), None);
}
