//! The cost of a change of configuration and its time until it is in force.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::REPEATS;
use crate::sample::Sample;
use crate::support::Fleet;
use crate::targets::fleet_config;

const INSTANCES: usize = 9;
const VOTERS: usize = 3;
const CHANGES: u64 = 40;
const SETTLE: Duration = Duration::from_secs(2);

pub(crate) async fn measure() {
    for size in [50, 275, 1_100] {
        for _ in 0..REPEATS {
            let fleet = Fleet::start(INSTANCES, VOTERS).await;
            let mut config = fleet_config(size, 2_000);
            let (status, body) = fleet.configure("e1", 0, &config).await;
            assert_eq!(status, 200, "{body}");
            tokio::time::sleep(SETTLE).await;
            let before = Sample::take(&fleet).await;
            let mut times = Vec::new();
            for version in 1..=CHANGES {
                // One service changes, as in an ordinary change.
                config["services"]["dock"]["deadline_ms"] = json!(2_000 + version);
                let start = Instant::now();
                let (status, _) = fleet.configure("e1", version, &config).await;
                assert_eq!(status, 200);
                times.push(start.elapsed());
            }
            let after = Sample::take(&fleet).await;
            after.print_since(&before, "config", size, CHANGES);
            print_times(size, times);
        }
    }
}

fn print_times(size: usize, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_micros();
    let line = json!({
        "slope": "config-in-force", "size": size, "changes": times.len(),
        "p50_us": at(50), "p99_us": at(99), "max_us": at(100),
    });
    println!("{line}");
}
