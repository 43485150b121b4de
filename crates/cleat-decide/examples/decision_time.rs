//! Measures the time that a decision takes with 50 and with 5,000 targets or
//! waiting requests, and the slope between the two.
//!
//! `cargo run --release -p cleat-decide --example decision_time`

use std::hint::black_box;
use std::time::{Duration, Instant};

use cleat_decide::{
    AdmissionController, Arrival, Candidate, Ticket, choose_target, eject_slow_targets, free_slots,
};
use cleat_world::{FleetConfig, Service};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

const SMALL: usize = 50;
const LARGE: usize = 5_000;
const ROUNDS: u32 = 200_000;
const SLOW_ROUNDS: u32 = 2_000;
/// Each result is the median of this many repetitions.
const REPEATS: usize = 7;
const CALLERS: u64 = 100;

fn main() {
    println!("decision: ns at {SMALL}, ns at {LARGE}, slope in ns for one more");
    report("choose, most have a free slot", |count| {
        time_choose(&candidates(count, 0.7), ROUNDS)
    });
    report("choose, one in twenty has a free slot", |count| {
        time_choose(&candidates(count, 0.05), ROUNDS)
    });
    report("choose, none has a free slot", |count| {
        time_choose(&candidates(count, 0.0), SLOW_ROUNDS)
    });
    report("free_slots", |count| {
        let candidates = candidates(count, 0.7);
        time(SLOW_ROUNDS, || {
            black_box(free_slots(black_box(&candidates)));
        })
    });
    report("eject_slow", |count| {
        let mut candidates = candidates(count, 0.7);
        time(SLOW_ROUNDS, || {
            eject_slow_targets(black_box(&mut candidates));
        })
    });
    report("arrive and slot_freed, queue kept full", time_admission);
    report("arrive refused, queue full", time_refusal);
}

fn report(what: &str, measure: impl Fn(usize) -> f64) {
    let (small, large) = (median(&measure, SMALL), median(&measure, LARGE));
    let slope = (large - small) / (LARGE - SMALL) as f64;
    println!("{what}: {small:.0}, {large:.0}, {slope:.4}");
}

fn median(measure: impl Fn(usize) -> f64, count: usize) -> f64 {
    let mut times: Vec<f64> = (0..REPEATS).map(|_| measure(count)).collect();
    times.sort_unstable_by(f64::total_cmp);
    times[REPEATS / 2]
}

/// The mean time of a round in nanoseconds.
fn time(rounds: u32, mut round: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..rounds {
        round();
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

fn candidates(count: usize, share_with_free_slot: f64) -> Vec<Candidate> {
    let mut rng = StdRng::seed_from_u64(1);
    let candidate = |_| Candidate {
        in_flight: if rng.random_bool(share_with_free_slot) {
            1
        } else {
            8
        },
        max_in_flight: 8,
        latency_us: rng.random_range(20_000..80_000),
        ejected: rng.random_bool(0.05),
        warm_up_percent: 100,
        local: rng.random_bool(0.3),
    };
    (0..count).map(candidate).collect()
}

fn time_choose(candidates: &[Candidate], rounds: u32) -> f64 {
    let mut random = 1u64;
    time(rounds, || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        black_box(choose_target(black_box(candidates), None, random));
    })
}

/// A controller with `count` waiting requests of a hundred callers, and the number
/// of the last request.
fn full_controller(count: usize) -> (AdmissionController, u64) {
    let mut controller = AdmissionController::new(&service(count), 1);
    let mut next = 0;
    while controller.waiting() < count {
        next += 1;
        arrive(&mut controller, next, Duration::ZERO);
    }
    (controller, next)
}

fn arrive(controller: &mut AdmissionController, number: u64, now: Duration) {
    let arrival = Arrival {
        ticket: Ticket(number),
        caller: &format!("caller-{}", number % CALLERS),
        deadline: now + Duration::from_secs(3_600),
    };
    black_box(controller.admit(arrival, 0, now));
}

fn time_admission(count: usize) -> f64 {
    let (mut controller, mut next) = full_controller(count);
    let mut now = Duration::ZERO;
    time(ROUNDS, || {
        now += Duration::from_micros(1);
        next += 1;
        black_box(controller.slot_freed(Some(Duration::from_millis(50)), now));
        arrive(&mut controller, next, now);
    })
}

fn time_refusal(count: usize) -> f64 {
    let (mut controller, mut next) = full_controller(count);
    time(ROUNDS, || {
        // Always the same caller, which is as far above its share as the others, so
        // that no request is displaced.
        next += CALLERS;
        arrive(&mut controller, next, Duration::ZERO);
    })
}

fn service(length: usize) -> Service {
    let fleet = json!({
        "data_centres": {"dc1": {}},
        "pools": {"runners": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"}}}},
        "services": {"dock": {"pool": "runners", "queue": {"length": length}}},
    });
    let fleet = FleetConfig::parse(&fleet).expect("the terms are valid");
    fleet
        .services
        .by_name("dock")
        .expect("the service is configured")
        .clone()
}
