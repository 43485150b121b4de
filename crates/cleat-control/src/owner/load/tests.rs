//! Reports of the load at given times.

use std::thread::sleep;

use super::*;

/// The processor time that an instance with a share of 0.35 of a processor gets in a second.
const SHARE_MS: u64 = 350;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn used(process_cpu_ms: u64, unparked_ms: u64) -> TimeUsed {
    TimeUsed {
        process_cpu: ms(process_cpu_ms),
        unparked: ms(unparked_ms),
    }
}

/// An ownership that began at 5 s, after the process had used some time.
fn meter() -> LoadMeter {
    let meter = LoadMeter::default();
    meter.begin_ownership(ms(5_000), used(700, 800));
    meter
}

/// The report at `at`, when the process has used this much time.
fn report(meter: &LoadMeter, at: u64, used: TimeUsed) -> OwnerLoad {
    let report = meter.report(ms(at), (0, 0), || used);
    report.expect("a report is due")
}

/// Guards against a log in which a saturated owner with a share of a processor looks like one
/// that is a third busy.
#[test]
fn report_tells_a_saturated_owner_from_one_that_is_a_third_busy() {
    let saturated = report(&meter(), 6_000, used(700 + SHARE_MS, 800 + 990));
    let third_busy = report(&meter(), 6_000, used(700 + SHARE_MS, 800 + SHARE_MS));
    assert_eq!(
        (saturated.process_cpu_ms, saturated.unparked_ms),
        (350, 990)
    );
    assert_eq!(
        (third_busy.process_cpu_ms, third_busy.unparked_ms),
        (350, 350)
    );
}

#[test]
fn report_covers_the_time_since_the_last_one() {
    let meter = meter();
    report(&meter, 6_000, used(900, 1_000));
    assert!(meter.report(ms(6_900), (0, 0), TimeUsed::default).is_none());
    let second = report(&meter, 7_500, used(1_300, 2_400));
    assert_eq!(second.interval_ms, 1_500);
    assert_eq!((second.process_cpu_ms, second.unparked_ms), (400, 1_400));
}

#[test]
fn report_shows_the_wait_of_orders_until_their_calls_begin() {
    let meter = meter();
    meter.order_started(ms(10));
    meter.order_started(ms(50));
    meter.order_not_sent();
    meter.renewal_started(ms(1));
    let first = report(&meter, 6_000, used(900, 1_000));
    assert_eq!(
        (first.max_order_wait_ms, first.mean_order_wait_ms),
        (50, 30)
    );
    assert_eq!((first.unsent_orders, first.renewals), (1, 1));
    let second = report(&meter, 7_000, used(900, 1_000));
    assert_eq!(
        (second.max_order_wait_ms, second.mean_order_wait_ms),
        (0, 0)
    );
    assert_eq!((second.unsent_orders, second.renewals), (0, 0));
}

/// The total of the runtime is read on a runtime with one thread as well, and the time in which
/// a task has the thread counts once its poll has ended.
#[tokio::test(flavor = "current_thread")]
async fn read_counts_the_time_in_which_the_one_thread_is_not_parked() {
    const POLL: Duration = Duration::from_millis(30);
    // Parks the thread, which writes its total so far.
    tokio::time::sleep(ms(1)).await;
    let before = TimeUsed::read();
    sleep(POLL);
    let within_the_poll = TimeUsed::read().since(before);
    assert!(within_the_poll.unparked < POLL, "{within_the_poll:?}");
    tokio::time::sleep(ms(1)).await;
    let after = TimeUsed::read().since(before);
    assert!(after.unparked >= POLL, "{after:?}");
}
