//! Durations learned from tasks whose estimates are good, bad, or biased.

use std::time::Duration;

use cleat_jobs::DurationModel;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The median of the tasks' durations.
const MEDIAN_MS: f64 = 1_700.0;
const SEEDS: u64 = 20;
const TASKS: usize = 200;

/// A task's estimate and duration.
struct Task {
    estimate_ms: u64,
    ran: Duration,
}

/// About a standard normal number: the sum of twelve uniform ones.
fn normal(rng: &mut StdRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Tasks whose durations differ by `spread` and whose estimates are off by
/// `error`, both as standard deviations of logarithms.
fn tasks(seed: u64, spread: f64, error: f64, bias: f64) -> Vec<Task> {
    let mut rng = StdRng::seed_from_u64(seed);
    let task = |_| {
        let ran_ms = MEDIAN_MS * (spread * normal(&mut rng)).exp();
        let estimate_ms = ran_ms * bias * (error * normal(&mut rng)).exp();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let estimate_ms = estimate_ms.max(1.0) as u64;
        let ran = Duration::from_secs_f64(ran_ms / 1_000.0);
        Task { estimate_ms, ran }
    };
    (0..TASKS).map(task).collect()
}

/// By how much expectations are off on average, as logarithms, once half of the
/// tasks are learned; and the estimates by themselves.
fn errors(spread: f64, error: f64, bias: f64) -> (f64, f64) {
    let (mut expected, mut estimated, mut count) = (0.0, 0.0, 0.0);
    for seed in 0..SEEDS {
        let mut durations = DurationModel::default();
        for (at, task) in tasks(seed, spread, error, bias).iter().enumerate() {
            if at >= TASKS / 2 {
                let ran = task.ran.as_secs_f64();
                let off = |span: Duration| (span.as_secs_f64() / ran).ln().abs();
                expected += off(durations.expected(task.estimate_ms));
                estimated += off(Duration::from_millis(task.estimate_ms));
                count += 1.0;
            }
            durations.observe(task.estimate_ms, task.ran);
        }
    }
    (expected / count, estimated / count)
}

#[test]
fn expect_before_any_task_is_the_estimate() {
    let expected = DurationModel::default().expected(640);
    assert_eq!(expected, Duration::from_millis(640));
}

#[test]
fn expect_bad_estimates_shrink_towards_the_mean() {
    let (expected, estimated) = errors(0.5, 0.9, 1.0);
    assert!(expected < 0.45, "{expected:.2}");
    assert!(estimated > 0.65, "{estimated:.2}");
}

#[test]
fn expect_good_estimates_are_kept() {
    let (expected, estimated) = errors(0.5, 0.2, 1.0);
    assert!(expected < estimated * 1.1, "{expected:.3}, {estimated:.3}");
}

#[test]
fn expect_biased_estimates_are_corrected() {
    let (expected, estimated) = errors(0.5, 0.1, 3.0);
    assert!(expected < 0.15, "{expected:.2}");
    assert!(estimated > 1.0, "{estimated:.2}");
}

/// The tasks of one step share an estimate: they tell its error, and nothing of
/// how others relate.
#[test]
fn expect_after_one_step_only_scales() {
    let mut durations = DurationModel::default();
    for _ in 0..8 {
        durations.observe(1_000, Duration::from_millis(2_000));
    }
    let twice = durations.expected(2_000).as_millis();
    assert!((3_900..=4_100).contains(&twice), "{twice}");
}

#[test]
fn expect_implausible_observations_stay_bounded() {
    let mut durations = DurationModel::default();
    durations.observe(0, Duration::from_secs(1));
    durations.observe(1, Duration::from_secs(100_000));
    durations.observe(u64::MAX, Duration::ZERO);
    assert!(durations.expected(1_000) < Duration::from_secs(100_000));
}
