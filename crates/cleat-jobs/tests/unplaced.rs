//! Steps that can't be placed, and what the log says of them.

mod support;

use std::time::Duration;

use cleat_jobs::{Decision, Effect, StepSpec, WaitReason};
use support::{Harness, step, task};

/// More than the number of steps without a place that ends a pass.
const BLOCKERS: u64 = 20;
/// The id of the first of the jobs without a place.
const FIRST_BLOCKER: u64 = 100;
const TICK: Duration = Duration::from_millis(50);

fn lasting(spec: StepSpec) -> StepSpec {
    StepSpec {
        long_running: true,
        ..spec
    }
}

fn labelled(label: &str, cpu_milli: u64) -> StepSpec {
    StepSpec {
        required_label: Some(label.into()),
        ..step(1, cpu_milli)
    }
}

fn submit_blockers(harness: &mut Harness, spec: &StepSpec) -> Vec<Effect> {
    let ids = FIRST_BLOCKER..FIRST_BLOCKER + BLOCKERS;
    ids.flat_map(|id| harness.submit(id, vec![spec.clone()]))
        .collect()
}

#[test]
fn wait_without_a_suitable_worker_is_logged_once() {
    let mut harness = Harness::new();
    let mut effects = harness.submit(1, vec![lasting(labelled("missing", 100))]);
    effects.extend(harness.tick(TICK));
    effects.extend(harness.submit(2, vec![step(1, 100)]));
    let waits = effects.iter().filter_map(|effect| match effect {
        Effect::Log(Decision::StepWaits { step, reason, .. }) => Some((step.to_string(), *reason)),
        _ => None,
    });
    let step = task(1, 0, 0).step.to_string();
    assert_eq!(waits.collect::<Vec<_>>(), [(step, WaitReason::Unsuitable)]);
}

#[test]
fn limited_pass_is_logged_with_what_it_did_not_examine() {
    let mut harness = Harness::new();
    harness.submit(1, vec![step(2, 8_000)]);
    submit_blockers(&mut harness, &lasting(step(1, 4_000)));
    let effects = harness.tick(Duration::from_secs(1));
    let limited = effects.iter().find_map(|effect| match effect {
        Effect::Log(Decision::PassLimited {
            unplaced,
            next_step,
            ..
        }) => Some((unplaced.clone(), next_step.clone())),
        _ => None,
    });
    let next = task(FIRST_BLOCKER + 12, 0, 0).step.to_string();
    let unplaced = vec![(WaitReason::Capacity, 12)];
    assert_eq!(limited, Some((unplaced, next.into())));
}
