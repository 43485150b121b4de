//! Pools in which workers crash that none of their tasks crashes.
//!
//! Guards against a pool that stands still while it is empty, since most of its tasks are
//! suspected of crashing workers and each has to run alone.

mod support;

use std::time::Duration;

use cleat_jobs::StepSpec;
use support::crash_scenario::CrashScenario;
use support::crashing_pool::{CrashingPool, Failure, MAX_STALL};
use support::{step, task};

const WORKERS: usize = 24;
const SEEDS: std::ops::Range<u64> = 1..5;
const WARM_UP: Duration = Duration::from_secs(6);
/// From when after the last trouble on starts have to be back at their rate.
const RECOVERY: Duration = Duration::from_secs(5);

/// Lets trouble come to a pool under load, and asserts that its starts are back at 0.8 of
/// their rate in time, that no job stands still meanwhile, and that none is given up.
fn assert_pool_recovers(workers: usize, trouble: impl Fn(&mut CrashingPool)) {
    for seed in SEEDS {
        let mut pool = CrashingPool::new(workers, seed);
        pool.run_for(WARM_UP);
        let rate = pool.starts.len() * 4 / 5 / 6;
        trouble(&mut pool);
        let recovered = pool.now + RECOVERY;
        pool.run_for(RECOVERY * 2);
        let until = pool.now;
        let seconds = until.as_secs() - recovered.as_secs();
        let since = pool.starts.iter().filter(|at| **at >= recovered).count();
        let mean = since / usize::try_from(seconds).expect("a few seconds");
        pool.drain_for(RECOVERY);
        let stall = pool.longest_stall;
        let context =
            format!("seed {seed}: {mean} starts a second, {rate} needed, stall {stall:?}");
        println!("{context}, {} unfinished", pool.unfinished());
        assert!(mean >= rate, "{context}");
        assert!(stall < MAX_STALL, "{context}");
        assert_eq!(pool.unfinished(), 0, "{context}");
        assert_eq!(pool.wrongly_failed(), 0, "{context}");
    }
}

fn wait(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn pool_recovers_after_half_of_it_crashes_and_a_new_owner() {
    assert_pool_recovers(WORKERS, |pool| {
        pool.crash_together(WORKERS / 2, Failure::Process);
        pool.run_for(wait(3_000));
        pool.replace_owner();
    });
}

#[test]
fn pool_recovers_after_half_of_it_loses_power_and_a_new_owner() {
    assert_pool_recovers(WORKERS, |pool| {
        pool.crash_together(WORKERS / 2, Failure::Power);
        pool.run_for(wait(3_000));
        pool.replace_owner();
    });
}

#[test]
fn pool_recovers_after_a_new_owner_right_after_the_crash() {
    assert_pool_recovers(WORKERS, |pool| {
        pool.crash_together(WORKERS / 2, Failure::Process);
        pool.run_for(wait(300));
        pool.replace_owner();
    });
}

#[test]
fn pool_recovers_after_crashes_that_repeat() {
    assert_pool_recovers(WORKERS, |pool| {
        for _ in 0..4 {
            pool.crash_together(WORKERS / 2, Failure::Process);
            pool.run_for(wait(3_000));
        }
        pool.replace_owner();
    });
}

#[test]
fn pool_recovers_after_a_crash_and_several_new_owners() {
    assert_pool_recovers(WORKERS, |pool| {
        pool.crash_together(WORKERS / 2, Failure::Process);
        pool.run_for(wait(3_000));
        for _ in 0..3 {
            pool.replace_owner();
            pool.run_for(wait(500));
        }
    });
}

#[test]
fn pool_recovers_after_all_of_it_crashes_and_a_new_owner() {
    assert_pool_recovers(WORKERS, |pool| {
        pool.crash_together(WORKERS, Failure::Process);
        pool.run_for(wait(3_500));
        pool.replace_owner();
    });
}

#[test]
fn pool_recovers_after_workers_crash_in_turn_and_a_new_owner() {
    assert_pool_recovers(WORKERS, |pool| {
        pool.crash_in_turn(WORKERS, wait(200));
        pool.replace_owner();
    });
}

#[test]
fn pool_recovers_after_half_of_it_was_cut_off_and_a_new_owner() {
    assert_pool_recovers(WORKERS, |pool| {
        pool.cut_off(WORKERS / 2, wait(6_000));
        pool.run_for(wait(6_500));
        pool.replace_owner();
    });
}

#[test]
fn small_pool_recovers_after_half_of_it_crashes_and_a_new_owner() {
    assert_pool_recovers(4, |pool| {
        pool.crash_together(2, Failure::Process);
        pool.run_for(wait(3_000));
        pool.replace_owner();
    });
}

/// The number of workers that a task crashes at most before it is given up.
const MAX_CRASHED_WORKERS: usize = 4;

/// Lets trouble come to a pool with tasks that crash their workers, and asserts that each of
/// these is given up in time, and no other.
fn assert_culprits_are_given_up(workers: usize, trouble: impl Fn(&mut CrashingPool)) {
    for seed in SEEDS {
        let mut pool = CrashingPool::new(workers, seed);
        pool.run_for(WARM_UP);
        trouble(&mut pool);
        pool.run_for(RECOVERY);
        pool.drain_for(RECOVERY * 3);
        let most = pool.crashed_by.values().max().copied().unwrap_or_default();
        let active = pool.active_culprits();
        let context = format!("seed {seed}: {most} workers of one task, {active} active");
        println!("{context}, {} unfinished", pool.unfinished());
        assert!(most <= MAX_CRASHED_WORKERS, "{context}");
        assert_eq!(active, 0, "{context}");
        assert_eq!(pool.wrongly_failed(), 0, "{context}");
        assert_eq!(pool.unfinished(), 0, "{context}");
    }
}

fn submit_culprits(pool: &mut CrashingPool, count: usize) {
    for _ in 0..count {
        pool.submit_culprit();
        pool.run_for(wait(100));
    }
}

#[test]
fn culprits_are_given_up_in_a_quiet_pool() {
    assert_culprits_are_given_up(WORKERS, |pool| submit_culprits(pool, 10));
}

#[test]
fn culprits_are_given_up_beside_a_crash_of_half_the_pool() {
    assert_culprits_are_given_up(WORKERS, |pool| {
        submit_culprits(pool, 5);
        pool.crash_together(WORKERS / 2, Failure::Process);
        submit_culprits(pool, 5);
    });
}

#[test]
fn culprits_are_given_up_beside_a_crash_and_a_new_owner() {
    assert_culprits_are_given_up(WORKERS, |pool| {
        submit_culprits(pool, 5);
        pool.crash_together(WORKERS / 2, Failure::Process);
        pool.run_for(wait(1_000));
        pool.replace_owner();
        submit_culprits(pool, 5);
    });
}

/// They crash many workers in one instant, as one failure of the pool would.
#[test]
fn culprits_are_given_up_that_start_at_the_same_time() {
    assert_culprits_are_given_up(WORKERS, |pool| {
        for _ in 0..WORKERS {
            pool.submit_culprit();
        }
    });
}

#[test]
fn culprits_are_given_up_beside_crashes_that_repeat() {
    assert_culprits_are_given_up(WORKERS, |pool| {
        for _ in 0..4 {
            submit_culprits(pool, 3);
            pool.crash_together(WORKERS / 2, Failure::Process);
            pool.run_for(wait(2_500));
        }
    });
}

/// Suspects that last keep their workers while the others of the pool leave.
#[test]
fn job_starts_in_a_pool_that_shrinks_to_its_isolated_workers() {
    let lasting = StepSpec {
        long_running: true,
        max_per_worker: Some(1),
        ..step(2, 500)
    };
    let mut scenario = CrashScenario::new(3);
    scenario.submit(2, vec![lasting]);
    for index in 0..2 {
        let worker = scenario.worker_of(task(2, 0, index));
        scenario.crash(&worker);
    }
    let isolated = [0, 1].map(|index| scenario.worker_of(task(2, 0, index)));
    let workers: Vec<Box<str>> = scenario.harness.state.workers.keys().cloned().collect();
    for worker in workers.iter().filter(|worker| !isolated.contains(*worker)) {
        scenario.harness.heartbeat_draining(worker, 2);
    }
    scenario.harness.now += wait(500);
    for worker in &isolated {
        scenario.list_runs(worker, Vec::new());
    }
    scenario.submit(3, vec![step(1, 500)]);
    assert_eq!(scenario.starts_of(task(3, 0, 0)), 1);
}
