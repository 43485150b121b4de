//! How many machine-seconds the pools had, and how few would have done.
//!
//! Reads the log of the owners from standard input and sums their `pool` lines, one
//! a second for each pool. The bound is what hindsight needs: at each second as many
//! machines as the tasks under way fill, and at least as many as a step needs that
//! may put only so many tasks on one. It knows neither that a machine takes time to
//! come, nor that tasks of different sizes leave room unused.
//!
//!     cargo run --release -p cleat-jobs --example machine_bound < owners.log

use std::collections::BTreeMap;
use std::io::{self, BufRead};

use serde::Deserialize;

/// What a `pool` line says; other lines lack some of it.
#[derive(Deserialize)]
struct PoolLine {
    pool: Box<str>,
    used_cpu_milli: u64,
    offered_cpu_milli: u64,
    workers: u64,
    least_workers: u64,
    waiting: u64,
}

/// The sums of one pool.
#[derive(Clone, Copy, Default)]
struct Sums {
    seconds: u64,
    had: f64,
    bound: f64,
    waiting: u64,
}

impl Sums {
    #[allow(clippy::cast_precision_loss)]
    fn add(&mut self, line: &PoolLine) {
        let machine = line.offered_cpu_milli as f64 / line.workers.max(1) as f64;
        let filled = line.used_cpu_milli as f64 / machine.max(1.0);
        self.seconds += 1;
        self.had += line.workers as f64;
        self.bound += filled.max(line.least_workers as f64);
        self.waiting += line.waiting;
    }
}

fn main() -> io::Result<()> {
    let mut pools: BTreeMap<Box<str>, Sums> = BTreeMap::new();
    for line in io::stdin().lock().lines() {
        let line = line?;
        let Some(start) = line.find('{') else {
            continue;
        };
        if let Ok(line) = serde_json::from_str::<PoolLine>(&line[start..]) {
            pools.entry(line.pool.clone()).or_default().add(&line);
        }
    }
    println!(
        "{:<16} {:>8} {:>10} {:>10} {:>6} {:>10}",
        "pool", "seconds", "had", "bound", "times", "waiting"
    );
    let mut all = Sums::default();
    for (pool, sums) in &pools {
        print(pool, sums);
        all.seconds += sums.seconds;
        all.had += sums.had;
        all.bound += sums.bound;
        all.waiting += sums.waiting;
    }
    print("all", &all);
    Ok(())
}

/// One row: machine-seconds, their ratio, and task-seconds without a place.
fn print(pool: &str, sums: &Sums) {
    let times = sums.had / sums.bound.max(1.0);
    println!(
        "{pool:<16} {:>8} {:>10.0} {:>10.0} {times:>6.2} {:>10}",
        sums.seconds, sums.had, sums.bound, sums.waiting
    );
}
