//! Properties of the choice of a target, of its health and of the division of its
//! slots.

use std::time::Duration;

use cleat_decide::{
    AttemptOutcome, Candidate, Health, Protections, choose_target, choose_target_with,
    eject_slow_targets, free_slots, slot_share,
};
use proptest::prelude::*;

const GOOD: AttemptOutcome = AttemptOutcome::Answered { status: 200 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn candidate() -> impl Strategy<Value = Candidate> {
    let load = (0..5u32, 0..4u32);
    (
        load,
        0..90_000u32,
        prop::bool::weighted(0.4),
        0..=100u8,
        any::<bool>(),
    )
        .prop_map(
            |((in_flight, max_in_flight), latency_us, ejected, warm_up_percent, local)| Candidate {
                in_flight,
                max_in_flight,
                latency_us,
                ejected,
                warm_up_percent,
                local,
            },
        )
}

/// Whether the rules allow the choice: the target has a free slot, and it is not
/// ejected or exceeds the limit on ejection.
fn allowed(candidates: &[Candidate], chosen: usize) -> bool {
    let ejected_before = candidates[..chosen].iter().filter(|c| c.ejected).count();
    let c = candidates[chosen];
    c.in_flight < c.max_in_flight && (!c.ejected || ejected_before >= candidates.len() / 2)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn choose_target_any_candidates(candidates in prop::collection::vec(candidate(), 0..40), random: u64) {
        let chosen = choose_target(&candidates, None, random);
        prop_assert_eq!(chosen.is_some(), free_slots(&candidates) > 0);
        if let Some(chosen) = chosen {
            prop_assert!(allowed(&candidates, chosen));
            prop_assert_ne!(choose_target(&candidates, Some(chosen), random), Some(chosen));
        }
    }

    #[test]
    fn slot_share_any_target_sums_to_cap(name in "[a-z]{1,8}[0-9]{0,3}", cap in 0..200u32, count in 1..12usize) {
        let entries: Vec<Box<str>> = (0..count).map(|i| format!("e{i}").into()).collect();
        let sum: u32 = entries.iter().map(|me| slot_share(&name, cap, &entries, me)).sum();
        prop_assert_eq!(sum, cap);
        prop_assert_eq!(slot_share(&name, cap, &entries, "stranger"), 0);
    }
}

fn idle(ejected: bool) -> Candidate {
    Candidate {
        in_flight: 0,
        max_in_flight: 8,
        latency_us: 10_000,
        ejected,
        warm_up_percent: 100,
        local: true,
    }
}

#[test]
fn choose_target_all_ejected_keeps_half() {
    let all = [idle(true); 10];
    let chosen = |protections| {
        (0..200)
            .filter_map(move |i| choose_target_with(&[idle(true); 10], None, i << 55, &protections))
    };
    assert!(chosen(Protections::ALL).all(|index| index >= 5));
    assert_eq!(chosen(Protections::ALL).count(), 200);
    assert_eq!(free_slots(&all), 40);
    let off = Protections {
        ejection_limit: false,
        ..Protections::ALL
    };
    assert_eq!(
        chosen(off).count(),
        0,
        "a target was chosen without the limit on ejection"
    );
}

#[test]
fn choose_target_prefers_lower_latency() {
    let mut candidates = vec![idle(false); 2];
    candidates[0].latency_us = 30_000;
    let slow = |protections| {
        let picks =
            (0..500u64).map(|i| choose_target_with(&candidates, None, i << 55, &protections));
        picks.filter(|pick| *pick == Some(0)).count()
    };
    assert!(slow(Protections::ALL) < 20);
    let off = Protections {
        latency_weighting: false,
        ..Protections::ALL
    };
    assert!(slow(off) > 150);
}

#[test]
fn eject_slow_targets_far_above_median() {
    let mut candidates = vec![idle(false); 3];
    candidates[2].latency_us = 100_000;
    eject_slow_targets(&mut candidates);
    let ejected: Vec<bool> = candidates.iter().map(|c| c.ejected).collect();
    assert_eq!(ejected, [false, false, true]);
}

#[test]
fn record_fast_failures_double_the_ejection() {
    let mut health = Health::new(ms(0));
    let mut now = ms(20_000);
    let mut durations = Vec::new();
    for _ in 0..4 {
        while !health.is_ejected(now) {
            health.record(AttemptOutcome::Answered { status: 503 }, ms(1), now);
        }
        let until = health.ejected_until(now).unwrap();
        durations.push(until - now);
        now = until;
        assert_eq!(
            health.warm_up_percent(now),
            10,
            "the target did not warm up again"
        );
        assert_eq!(health.latency_us(now), 0, "failures changed the latency");
    }
    assert_eq!(durations, [ms(1_000), ms(2_000), ms(4_000), ms(8_000)]);
}

#[test]
fn record_failure_rate_of_a_quarter_does_not_eject() {
    let mut health = Health::new(ms(0));
    for i in 0..1_000u64 {
        let outcome = if i % 4 == 0 {
            AttemptOutcome::ConnectionLost
        } else {
            GOOD
        };
        health.record(outcome, ms(50), ms(i));
        assert!(!health.is_ejected(ms(i)));
    }
}

#[test]
fn record_short_timeouts_score_little() {
    let mut health = Health::new(ms(0));
    health.record(GOOD, ms(100), ms(0));
    for i in 0..8 {
        health.record(AttemptOutcome::TimedOut, ms(30), ms(i));
    }
    assert!(!health.is_ejected(ms(8)));
    for i in 8..20 {
        health.record(AttemptOutcome::TimedOut, ms(30), ms(i));
    }
    assert!(
        health.is_ejected(ms(20)),
        "many short timeouts did not eject the target"
    );
}

#[test]
fn latency_us_decays_and_is_confirmed() {
    let mut health = Health::new(ms(0));
    health.record(GOOD, ms(400), ms(0));
    assert_eq!(health.latency_us(ms(10_000)), 200_000);
    health.record(GOOD, ms(400), ms(10_000));
    assert_eq!(health.latency_us(ms(10_000)), 400_000);
}
