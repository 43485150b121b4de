//! Ticks at given times.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn tick_after_ordinary_delays_shows_no_stall() {
    let mut detector = StallDetector::new(ms(1_000));
    for at in [1_050, 1_100, 1_300, 1_350] {
        assert_eq!(detector.tick(ms(at), true), None);
    }
}

/// Guards against leases that expire while their owner does not listen: it has to notice
/// that it did not.
#[test]
fn tick_after_a_stall_shows_how_long_it_was() {
    let mut detector = StallDetector::new(ms(1_000));
    assert_eq!(detector.tick(ms(1_050), true), None);
    assert_eq!(detector.tick(ms(2_150), true), Some(ms(1_100)));
    assert_eq!(detector.tick(ms(2_200), true), None);
}

/// Answers that are there and not handled are as good as not heard.
#[test]
fn tick_before_the_answers_that_are_there_counts_as_a_stall() {
    let mut detector = StallDetector::new(ms(1_000));
    assert_eq!(detector.tick(ms(1_200), false), Some(ms(200)));
    assert_eq!(detector.tick(ms(1_250), true), None);
}
