//! Properties of the verdict on a try.

use std::time::Duration;

use cleat_decide::{
    AttemptContext, AttemptOutcome, FinalOutcome, Protections, RetryBudget, RetryDecision,
    decide_retry,
};
use cleat_world::Retry;
use proptest::prelude::*;

const RETRY: Retry = Retry {
    tries: 3,
    budget_percent: 10,
};

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        (200..600u16).prop_map(|status| AttemptOutcome::Answered { status }),
        Just(AttemptOutcome::NotSent),
        Just(AttemptOutcome::ConnectionLost),
        Just(AttemptOutcome::TimedOut),
        Just(AttemptOutcome::Malformed),
    ]
}

/// Runs one request over the given ends of tries; gives the number of tries
/// that may have run, of all tries, and the end.
fn request(
    idempotent: bool,
    outcomes: &[AttemptOutcome],
    remaining: Duration,
    budget: &mut RetryBudget,
) -> (u32, u32, FinalOutcome) {
    let (mut runs, mut tries) = (0, 0);
    for outcome in outcomes.iter().cycle() {
        tries += 1;
        let facts = AttemptContext {
            idempotent,
            attempts: tries,
            max_attempts: 3,
            remaining,
            earlier_may_have_run: runs > 0,
            expected_duration: Duration::from_millis(20),
        };
        runs += u32::from(outcome.may_have_run());
        match decide_retry(outcome, facts, budget) {
            RetryDecision::Retry => {}
            RetryDecision::Answer(answer) => return (runs, tries, answer),
        }
    }
    unreachable!("no outcomes")
}

/// Whether any of the requests broke a promise.
fn breaks_promise(requests: &[(bool, Vec<AttemptOutcome>, u64)], protections: Protections) -> bool {
    let mut budget = RetryBudget::with_protections(&RETRY, 1, protections);
    requests.iter().any(|(idempotent, outcomes, remaining)| {
        let remaining = Duration::from_millis(*remaining);
        let (runs, tries, answer) = request(*idempotent, outcomes, remaining, &mut budget);
        let ran_twice = !idempotent && runs > 1;
        let lied = matches!(answer, FinalOutcome::NotRun { .. }) && runs > 0;
        let waited = tries > 1 && remaining < Duration::from_millis(20);
        ran_twice || lied || waited || tries > 3
    })
}

fn requests() -> impl Strategy<Value = Vec<(bool, Vec<AttemptOutcome>, u64)>> {
    let one = (
        any::<bool>(),
        prop::collection::vec(outcome(), 1..4),
        0..100u64,
    );
    prop::collection::vec(one, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn verdict_any_outcomes(requests in requests()) {
        prop_assert!(!breaks_promise(&requests, Protections::ALL));
    }

    #[test]
    fn verdict_tries_within_budget(outcomes in prop::collection::vec(outcome(), 1..600)) {
        let mut budget = RetryBudget::new(&RETRY, 1);
        let hour = Duration::from_secs(3_600);
        let tries: u32 = outcomes
            .iter()
            .map(|outcome| request(true, &[*outcome], hour, &mut budget).1)
            .sum();
        let retries = u64::from(tries) - outcomes.len() as u64;
        prop_assert!(retries * 100 <= 300 + outcomes.len() as u64 * 11);
    }
}

#[test]
fn verdict_without_at_most_once() {
    let off = Protections {
        at_most_once: false,
        ..Protections::ALL
    };
    let cut = [(false, vec![AttemptOutcome::ConnectionLost], 100)];
    assert!(breaks_promise(&cut, off));
    assert!(!breaks_promise(&cut, Protections::ALL));
}

#[test]
fn verdict_third_of_targets_failing() {
    let tries = |protections| {
        let mut budget = RetryBudget::with_protections(&RETRY, 1, protections);
        let hour = Duration::from_secs(3_600);
        let end = |i: u32| match i % 3 {
            0 => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Answered { status: 200 },
        };
        let tries = (0..9_000).map(|i| request(true, &[end(i)], hour, &mut budget).1);
        f64::from(tries.sum::<u32>()) / 9_000.0
    };
    assert!(tries(Protections::ALL) < 1.2);
    let off = Protections {
        retry_budget: false,
        ..Protections::ALL
    };
    assert!(tries(off) > 1.2, "the budget is what keeps it low");
}
