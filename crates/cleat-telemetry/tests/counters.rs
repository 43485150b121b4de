//! The registry of numbers.

use std::thread;

use cleat_telemetry::Counters;

#[test]
fn snapshot_in_order_of_names() {
    let counters = Counters::default();
    let answered = counters.counter("requests.answered");
    answered.incr();
    counters.clone().counter("requests.answered").add(2);
    let queued = counters.gauge("queue");
    queued.set(5);
    queued.add(2);
    queued.sub(3);
    let all = counters.snapshot();
    let all: Vec<(&str, u64)> = all.iter().map(|(name, n)| (&**name, *n)).collect();
    assert_eq!(all, [("queue", 4), ("requests.answered", 3)]);
    queued.sub(9);
    assert_eq!((queued.get(), answered.get()), (0, 3));
}

/// No increment is lost while others add names.
#[test]
fn counter_from_many_threads() {
    let counters = Counters::default();
    thread::scope(|scope| {
        for i in 0..8 {
            let counters = &counters;
            scope.spawn(move || {
                for name in 0..200 {
                    counters.counter(&format!("shared.{name}")).incr();
                    counters.counter(&format!("own.{i}.{name}")).incr();
                }
            });
        }
    });
    let all = counters.snapshot();
    assert_eq!(all.len(), 200 + 8 * 200);
    let shared = all.iter().filter(|(name, _)| name.starts_with("shared."));
    assert!(shared.into_iter().all(|(_, n)| *n == 8));
}
