//! Task durations learned from estimates that are good, bad or biased.

use std::time::Duration;

use cleat_jobs::DurationModel;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The median of the tasks' durations.
const MEDIAN_MS: f64 = 1_700.0;
const SEEDS: u64 = 20;
const TASKS: usize = 200;

/// The estimate and the actual duration of a task.
struct Task {
    estimate_ms: u64,
    actual: Duration,
}

/// An approximately standard normal sample: the sum of twelve uniform ones, less 6.
fn normal(rng: &mut StdRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Tasks with log-normal durations and estimates. `spread` and `error` are the standard
/// deviations of the logarithms of the duration and of the estimation error.
fn sample_tasks(seed: u64, spread: f64, error: f64, bias: f64) -> Vec<Task> {
    let mut rng = StdRng::seed_from_u64(seed);
    let task = |_| {
        let actual_ms = MEDIAN_MS * (spread * normal(&mut rng)).exp();
        let estimate_ms = actual_ms * bias * (error * normal(&mut rng)).exp();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let estimate_ms = estimate_ms.max(1.0) as u64;
        let actual = Duration::from_secs_f64(actual_ms / 1_000.0);
        Task {
            estimate_ms,
            actual,
        }
    };
    (0..TASKS).map(task).collect()
}

/// The mean absolute logarithmic error of the expected durations, measured after half of
/// the tasks were observed, and that of the estimates themselves.
fn mean_log_errors(spread: f64, error: f64, bias: f64) -> (f64, f64) {
    let (mut expected, mut estimated, mut count) = (0.0, 0.0, 0.0);
    for seed in 0..SEEDS {
        let mut durations = DurationModel::default();
        for (at, task) in sample_tasks(seed, spread, error, bias).iter().enumerate() {
            if at >= TASKS / 2 {
                let actual = task.actual.as_secs_f64();
                let log_error = |span: Duration| (span.as_secs_f64() / actual).ln().abs();
                expected += log_error(durations.expected(task.estimate_ms));
                estimated += log_error(Duration::from_millis(task.estimate_ms));
                count += 1.0;
            }
            durations.observe(task.estimate_ms, task.actual);
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
    let (expected, estimated) = mean_log_errors(0.5, 0.9, 1.0);
    assert!(expected < 0.45, "{expected:.2}");
    assert!(estimated > 0.65, "{estimated:.2}");
}

#[test]
fn expect_good_estimates_are_kept() {
    let (expected, estimated) = mean_log_errors(0.5, 0.2, 1.0);
    assert!(expected < estimated * 1.1, "{expected:.3}, {estimated:.3}");
}

#[test]
fn expect_biased_estimates_are_corrected() {
    let (expected, estimated) = mean_log_errors(0.5, 0.1, 3.0);
    assert!(expected < 0.15, "{expected:.2}");
    assert!(estimated > 1.0, "{estimated:.2}");
}

/// The tasks of one step share an estimate. They show its bias, but not how durations vary
/// with other estimates.
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
