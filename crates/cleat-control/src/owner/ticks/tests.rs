//! Ticks at given times.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The tick that is due at `at`, with all answers collected.
fn tick(ticks: &mut TickSchedule, at: u64) -> Option<DueTick> {
    ticks.record_due();
    ticks.take_due(ms(at), true)
}

const ON_TIME: DueTick = DueTick { stall: None };

#[test]
fn take_due_after_ordinary_delays_shows_no_stall() {
    let mut ticks = TickSchedule::new(ms(1_000));
    assert_eq!(ticks.take_due(ms(1_010), true), None, "no tick is due");
    for at in [1_050, 1_100, 1_300, 1_350] {
        assert_eq!(tick(&mut ticks, at), Some(ON_TIME));
    }
}

/// Guards against leases that expire while their owner does not listen: it has to notice
/// that it did not.
#[test]
fn take_due_after_a_stall_shows_how_long_it_was() {
    let mut ticks = TickSchedule::new(ms(1_000));
    assert_eq!(tick(&mut ticks, 1_050), Some(ON_TIME));
    let stall = Some(ms(1_100));
    assert_eq!(tick(&mut ticks, 2_150), Some(DueTick { stall }));
    assert_eq!(tick(&mut ticks, 2_200), Some(ON_TIME));
}

/// Guards against leases that expire before answers that the owner has and handles later.
#[test]
fn take_due_with_answers_left_counts_as_a_stall() {
    let mut ticks = TickSchedule::new(ms(1_000));
    ticks.record_due();
    let stall = Some(ms(50));
    assert_eq!(ticks.take_due(ms(1_050), false), Some(DueTick { stall }));
    assert_eq!(ticks.take_due(ms(1_060), true), None, "no tick is due");
    assert_eq!(tick(&mut ticks, 1_100), Some(ON_TIME));
}
