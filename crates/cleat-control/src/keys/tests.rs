//! Floods of keys, and keys that come into force.

use std::time::Duration;

use cleat_jobs::KeyDigest;
use cleat_link::{ControlReply, ShownKey};

use crate::events::KeyRefusal;

use super::{KeyGuard, MISS_REMEMBERED, NEW_KEYS_AT_ONCE, Refusals, Verdict};

fn shown(key: &str) -> ShownKey {
    ShownKey {
        key: KeyDigest::of(key),
        host: "host".into(),
        prefix: "/q/".into(),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn judge_new_key_is_asked_about() {
    let mut guard = KeyGuard::new(ms(0));
    assert_eq!(guard.judge(&shown("a"), ms(1)), Verdict::Ask);
}

#[test]
fn judge_missed_key_is_refused_for_a_moment() {
    let mut guard = KeyGuard::new(ms(0));
    guard.learn(&shown("a"), &ControlReply::UnknownKey, ms(0));
    let last = MISS_REMEMBERED - ms(1);
    assert_eq!(guard.judge(&shown("a"), last), Verdict::Unknown);
    assert_eq!(guard.judge(&shown("a"), MISS_REMEMBERED), Verdict::Ask);
    assert_eq!(guard.judge(&shown("b"), last), Verdict::Ask);
}

#[test]
fn judge_missed_key_may_be_shown_to_another_queue() {
    let mut guard = KeyGuard::new(ms(0));
    guard.learn(&shown("a"), &ControlReply::UnknownKey, ms(0));
    let elsewhere = ShownKey {
        prefix: "/public/".into(),
        ..shown("a")
    };
    assert_eq!(guard.judge(&elsewhere, ms(1)), Verdict::Ask);
}

#[test]
fn judge_key_that_was_taken_away_is_not_known_any_more() {
    let mut guard = KeyGuard::new(ms(0));
    guard.learn(&shown("a"), &ControlReply::Done, ms(0));
    assert_eq!(guard.judge(&shown("a"), ms(1)), Verdict::Ask);
    guard.learn(&shown("a"), &ControlReply::UnknownKey, ms(2));
    assert_eq!(guard.judge(&shown("a"), ms(3)), Verdict::Unknown);
}

#[test]
fn judge_unknown_queue_says_nothing_of_a_key() {
    let mut guard = KeyGuard::new(ms(0));
    guard.learn(&shown("a"), &ControlReply::NoSuchQueue, ms(0));
    assert!(guard.known.is_empty());
}

/// 10,000 keys a second that nobody has, for ten seconds, beside a customer's own.
#[test]
fn judge_flood_costs_the_leader_no_more_than_its_budget() {
    let mut guard = KeyGuard::new(ms(0));
    guard.learn(&shown("own"), &ControlReply::Done, ms(0));
    let (mut asked, mut served) = (0, 0);
    for n in 0..100_000_u64 {
        let now = Duration::from_micros(n * 100);
        let flood = shown(&format!("none-{n}"));
        match guard.judge(&flood, now) {
            Verdict::Ask => {
                asked += 1;
                guard.learn(&flood, &ControlReply::UnknownKey, now);
            }
            Verdict::Unknown | Verdict::TooMany => {}
        }
        served += u64::from(guard.judge(&shown("own"), now) == Verdict::Ask);
    }
    assert!(asked <= 300 + 500, "{asked} of 100,000 reached the leader");
    assert_eq!(served, 100_000, "the customer is not held up");
}

#[test]
fn judge_same_unknown_key_is_asked_ten_times_a_second() {
    let mut guard = KeyGuard::new(ms(0));
    let mut asked = 0;
    for n in 0..10_000_u64 {
        let now = Duration::from_micros(n * 100);
        if guard.judge(&shown("a"), now) == Verdict::Ask {
            asked += 1;
            guard.learn(&shown("a"), &ControlReply::UnknownKey, now);
        }
    }
    assert!(asked <= 10, "{asked}");
}

#[test]
fn judge_all_keys_of_a_fleet_at_a_start() {
    let mut guard = KeyGuard::new(ms(0));
    let keys = (0..150 * 2).map(|n| shown(&format!("key-{n}")));
    let asked = keys.filter(|key| guard.judge(key, ms(1)) == Verdict::Ask);
    assert_eq!(asked.count() as f64, NEW_KEYS_AT_ONCE);
}

#[test]
fn refusals_are_one_line_a_second_with_their_count() {
    let mut refusals = Refusals::default();
    let mut lines = Vec::new();
    for n in 0..25_000_u64 {
        let now = Duration::from_micros(n * 100);
        let key = Some(format!("{n:08x}").into());
        lines.extend(refusals.note(KeyRefusal::Unknown, key, "/q/5c0e7a21d94b36f8", now));
    }
    let counts: Vec<u64> = lines.iter().map(|line| line.count).collect();
    assert_eq!(counts, [1, 10_000, 10_000]);
    assert!(lines.iter().all(|line| *line.path == *"/q/"));
    let other = refusals.note(KeyRefusal::TooMany, None, "/q/", ms(2_500));
    assert_eq!(other.map(|line| line.count), Some(1), "a reason of its own");
}
