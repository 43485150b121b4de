//! Properties of the decision to retry.

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

/// Runs one request whose attempts have the given outcomes, repeated as needed.
/// Returns the number of attempts that may have run, the number of all attempts
/// and the final outcome.
fn request(
    idempotent: bool,
    outcomes: &[AttemptOutcome],
    remaining: Duration,
    budget: &mut RetryBudget,
) -> (u32, u32, FinalOutcome) {
    let (mut runs, mut attempts) = (0, 0);
    for outcome in outcomes.iter().cycle() {
        attempts += 1;
        let context = AttemptContext {
            idempotent,
            attempts,
            max_attempts: 3,
            remaining,
            earlier_may_have_run: runs > 0,
            expected_duration: Duration::from_millis(20),
        };
        runs += u32::from(outcome.may_have_run());
        match decide_retry(outcome, context, budget) {
            RetryDecision::Retry => {}
            RetryDecision::Answer(answer) => return (runs, attempts, answer),
        }
    }
    unreachable!("outcomes is not empty")
}

/// Whether any of the requests violates an invariant: it runs at most once unless
/// it is idempotent, it is not reported as not run if it may have run, it is not
/// retried without time left, and it has at most 3 attempts.
fn violates_invariant(
    requests: &[(bool, Vec<AttemptOutcome>, u64)],
    protections: Protections,
) -> bool {
    let mut budget = RetryBudget::with_protections(&RETRY, 1, protections);
    requests.iter().any(|(idempotent, outcomes, remaining)| {
        let remaining = Duration::from_millis(*remaining);
        let (runs, attempts, answer) = request(*idempotent, outcomes, remaining, &mut budget);
        let ran_twice = !idempotent && runs > 1;
        let false_not_run = matches!(answer, FinalOutcome::NotRun { .. }) && runs > 0;
        let retried_late = attempts > 1 && remaining < Duration::from_millis(20);
        ran_twice || false_not_run || retried_late || attempts > 3
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
    fn decide_retry_any_outcomes_keep_invariants(requests in requests()) {
        prop_assert!(!violates_invariant(&requests, Protections::ALL));
    }

    #[test]
    fn decide_retry_attempts_stay_within_budget(outcomes in prop::collection::vec(outcome(), 1..600)) {
        let mut budget = RetryBudget::new(&RETRY, 1);
        let hour = Duration::from_secs(3_600);
        let attempts: u32 = outcomes
            .iter()
            .map(|outcome| request(true, &[*outcome], hour, &mut budget).1)
            .sum();
        let retries = u64::from(attempts) - outcomes.len() as u64;
        // 3 initial retries, then 10 % of the successes (`budget_percent`) and 1 % of
        // all requests.
        prop_assert!(retries * 100 <= 300 + outcomes.len() as u64 * 11);
    }
}

#[test]
fn decide_retry_without_at_most_once() {
    let off = Protections {
        at_most_once: false,
        ..Protections::ALL
    };
    let cut = [(false, vec![AttemptOutcome::ConnectionLost], 100)];
    assert!(violates_invariant(&cut, off));
    assert!(!violates_invariant(&cut, Protections::ALL));
}

#[test]
fn decide_retry_third_of_targets_failing() {
    let attempts = |protections| {
        let mut budget = RetryBudget::with_protections(&RETRY, 1, protections);
        let hour = Duration::from_secs(3_600);
        let end = |i: u32| match i % 3 {
            0 => AttemptOutcome::NotSent,
            _ => AttemptOutcome::Answered { status: 200 },
        };
        let attempts = (0..9_000).map(|i| request(true, &[end(i)], hour, &mut budget).1);
        f64::from(attempts.sum::<u32>()) / 9_000.0
    };
    assert!(attempts(Protections::ALL) < 1.2);
    let off = Protections {
        retry_budget: false,
        ..Protections::ALL
    };
    assert!(
        attempts(off) > 1.2,
        "the attempts were limited without the budget"
    );
}
