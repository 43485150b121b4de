//! Ticks at given times.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The tick that is due at `at`, with all answers collected.
fn tick(ticks: &mut TickSchedule, at: u64) -> Option<DueTick> {
    ticks.record_due(ms(at));
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

/// Guards against leases that expire before answers that the owner has: the tick waits for
/// them for a while, and then counts as one after a stall.
#[test]
fn take_due_waits_for_answers_that_are_there() {
    let mut ticks = TickSchedule::new(ms(1_000));
    ticks.record_due(ms(1_050));
    assert_eq!(ticks.take_due(ms(1_050), false), None);
    ticks.record_due(ms(1_100));
    assert_eq!(ticks.take_due(ms(1_199), false), None);
    let stall = Some(ms(200));
    assert_eq!(ticks.take_due(ms(1_200), false), Some(DueTick { stall }));
    assert_eq!(tick(&mut ticks, 1_250), Some(ON_TIME));
}
