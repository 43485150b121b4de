//! Tests of the key filter: floods of unknown keys, and keys that are added or
//! removed.

use std::time::Duration;

use cleat_jobs::KeyDigest;
use cleat_link::{ControlReply, ShownKey};

use crate::events::KeyRefusal;

use super::{KeyFilter, NEW_KEY_BURST, RefusalLog, UNKNOWN_KEY_TTL, Verdict};

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
fn check_new_key_is_forwarded() {
    let mut filter = KeyFilter::new(ms(0));
    assert_eq!(filter.check(&shown("a"), ms(1)), Verdict::Forward);
}

#[test]
fn check_unknown_key_is_refused_until_its_record_expires() {
    let mut filter = KeyFilter::new(ms(0));
    filter.record_reply(&shown("a"), &ControlReply::UnknownKey, ms(0));
    let last = UNKNOWN_KEY_TTL - ms(1);
    assert_eq!(filter.check(&shown("a"), last), Verdict::Unknown);
    assert_eq!(filter.check(&shown("a"), UNKNOWN_KEY_TTL), Verdict::Forward);
    assert_eq!(filter.check(&shown("b"), last), Verdict::Forward);
}

#[test]
fn check_unknown_key_is_forwarded_for_another_queue() {
    let mut filter = KeyFilter::new(ms(0));
    filter.record_reply(&shown("a"), &ControlReply::UnknownKey, ms(0));
    // A queue is identified by the host and the path prefix.
    let elsewhere = ShownKey {
        prefix: "/public/".into(),
        ..shown("a")
    };
    assert_eq!(filter.check(&elsewhere, ms(1)), Verdict::Forward);
}

#[test]
fn check_removed_key_is_no_longer_known() {
    let mut filter = KeyFilter::new(ms(0));
    filter.record_reply(&shown("a"), &ControlReply::Done, ms(0));
    assert_eq!(filter.check(&shown("a"), ms(1)), Verdict::Forward);
    filter.record_reply(&shown("a"), &ControlReply::UnknownKey, ms(2));
    assert_eq!(filter.check(&shown("a"), ms(3)), Verdict::Unknown);
}

#[test]
fn record_reply_unknown_queue_does_not_mark_key_as_known() {
    let mut filter = KeyFilter::new(ms(0));
    filter.record_reply(&shown("a"), &ControlReply::NoSuchQueue, ms(0));
    assert!(filter.known.is_empty());
}

/// 10,000 unknown keys a second for ten seconds, while a customer calls with its own
/// key.
#[test]
fn check_flood_of_unknown_keys_is_rate_limited() {
    let mut filter = KeyFilter::new(ms(0));
    filter.record_reply(&shown("own"), &ControlReply::Done, ms(0));
    let (mut forwarded, mut served) = (0, 0);
    for n in 0..100_000_u64 {
        let now = Duration::from_micros(n * 100);
        let flood = shown(&format!("none-{n}"));
        match filter.check(&flood, now) {
            Verdict::Forward => {
                forwarded += 1;
                filter.record_reply(&flood, &ControlReply::UnknownKey, now);
            }
            Verdict::Unknown | Verdict::TooMany => {}
        }
        served += u64::from(filter.check(&shown("own"), now) == Verdict::Forward);
    }
    // A burst of 300 keys, and 50 keys a second for ten seconds.
    assert!(
        forwarded <= 300 + 500,
        "{forwarded} of 100,000 unknown keys were forwarded to the leader"
    );
    assert_eq!(
        served, 100_000,
        "calls with the customer's known key were refused"
    );
}

#[test]
fn check_same_unknown_key_is_forwarded_at_most_ten_times_a_second() {
    let mut filter = KeyFilter::new(ms(0));
    let mut forwarded = 0;
    for n in 0..10_000_u64 {
        let now = Duration::from_micros(n * 100);
        if filter.check(&shown("a"), now) == Verdict::Forward {
            forwarded += 1;
            filter.record_reply(&shown("a"), &ControlReply::UnknownKey, now);
        }
    }
    assert!(forwarded <= 10, "forwarded {forwarded} times in one second");
}

#[test]
fn check_all_keys_of_a_fleet_pass_after_a_start() {
    let mut filter = KeyFilter::new(ms(0));
    // 150 customers with two keys each.
    let keys = (0..150 * 2).map(|n| shown(&format!("key-{n}")));
    let forwarded = keys.filter(|key| filter.check(key, ms(1)) == Verdict::Forward);
    assert_eq!(forwarded.count() as f64, NEW_KEY_BURST);
}

#[test]
fn refusal_log_writes_one_line_a_second_with_the_count() {
    let mut refusals = RefusalLog::default();
    let mut lines = Vec::new();
    for n in 0..25_000_u64 {
        let now = Duration::from_micros(n * 100);
        let key = Some(format!("{n:08x}").into());
        lines.extend(refusals.record(KeyRefusal::Unknown, key, "/q/5c0e7a21d94b36f8", now));
    }
    let counts: Vec<u64> = lines.iter().map(|line| line.count).collect();
    assert_eq!(counts, [1, 10_000, 10_000]);
    assert!(lines.iter().all(|line| *line.path == *"/q/"));
    let other = refusals.record(KeyRefusal::TooMany, None, "/q/", ms(2_500));
    assert_eq!(
        other.map(|line| line.count),
        Some(1),
        "a refusal for another reason was not logged"
    );
}
