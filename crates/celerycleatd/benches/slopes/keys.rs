//! The cost of claiming and settling idempotency keys.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::REPEATS;
use crate::sample::Sample;
use crate::support::{Call, Fleet, example_config, outcome_of};

const SETTLE: Duration = Duration::from_secs(2);
const DOCK: &str = "/dock/booking?bytes=200";

pub(crate) async fn measure() {
    for size in [100, 300, 900] {
        for _ in 0..REPEATS {
            let fleet = Fleet::start(3, 3).await;
            let (status, body) = fleet.configure("e1", 0, &example_config(2_000)).await;
            assert_eq!(status, 200, "{body}");
            let _target = fleet.target("t1", 1, "e1").await;
            for name in fleet.names() {
                fleet.call_until(&name, "answered", Call::get(DOCK)).await;
            }
            tokio::time::sleep(SETTLE).await;
            run(&fleet, "keys-none", size, false).await;
            run(&fleet, "keys", size, true).await;
        }
    }
}

/// One request after the other, round the instances.
async fn run(fleet: &Fleet, what: &str, size: usize, keyed: bool) {
    let names = fleet.names();
    let before = Sample::take(fleet).await;
    let mut times = Vec::new();
    for i in 0..size {
        let key = format!("key-{i}");
        let call = if keyed {
            Call::post(DOCK, &key)
        } else {
            Call::get(DOCK)
        };
        let start = Instant::now();
        let answer = fleet
            .call(&names[i % names.len()], call)
            .await
            .expect("an answer");
        assert_eq!(outcome_of(&answer), "answered");
        times.push(start.elapsed());
    }
    let after = Sample::take(fleet).await;
    after.print_since(&before, what, size, size as u64);
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_micros();
    let line = json!({"slope": format!("{what}-latency"), "size": size, "p50_us": at(50), "p99_us": at(99)});
    println!("{line}");
}
