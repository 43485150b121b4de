//! Computes the machine-seconds that the pools had, and a lower bound for what they needed.
//!
//! Reads the log of the owners from standard input and sums their `pool` lines, one per
//! second and pool. The bound assumes perfect foresight: in each second as many machines as
//! the running tasks fill, and at least as many as a step with a limit of tasks per worker
//! needs. It ignores the time that a move takes and the capacity that is left unused when
//! tasks of different sizes share a machine.
//!
//! Given the cost of a move in machine-seconds, it also prints the fewest machine-seconds
//! and moves: a machine stays during a pause that is shorter than the cost of a move, and
//! otherwise leaves and returns. Leaving costs nothing, because another pool may need the
//! machine, so no policy can need less.
//!
//!     cargo run --release -p cleat-jobs --example machine_bound -- [MOVE_SECONDS] < owners.log

use std::collections::BTreeMap;
use std::io::{self, BufRead};

use serde::Deserialize;

/// The fields of a `pool` line. Other lines lack some of them and are skipped.
#[derive(Deserialize)]
struct PoolLine {
    /// Milliseconds since the Unix epoch.
    time_ms: u64,
    pool: Box<str>,
    used_cpu_milli: u64,
    offered_cpu_milli: u64,
    workers: u64,
    least_workers: u64,
    waiting: u64,
}

/// The sums of one pool.
#[derive(Clone, Default)]
struct Sums {
    seconds: u64,
    machine_seconds: f64,
    bound: f64,
    waiting: u64,
    /// The number of machines needed in each second.
    needs: BTreeMap<u64, usize>,
}

impl Sums {
    #[allow(clippy::cast_precision_loss)]
    fn add(&mut self, line: &PoolLine) {
        let machine_cpu_milli = line.offered_cpu_milli as f64 / line.workers.max(1) as f64;
        let filled_machines = line.used_cpu_milli as f64 / machine_cpu_milli.max(1.0);
        let needed_machines = filled_machines.max(line.least_workers as f64);
        self.seconds += 1;
        self.machine_seconds += line.workers as f64;
        self.bound += needed_machines;
        self.waiting += line.waiting;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        self.needs
            .insert(line.time_ms / 1_000, needed_machines.ceil() as usize);
    }

    /// The fewest machine-seconds and moves that cover `needs`.
    fn fewest(&self, move_seconds: u64) -> (u64, u64) {
        let most = self.needs.values().copied().max().unwrap_or_default();
        let each = (1..=most).map(|nth| self.fewest_for(nth, move_seconds));
        each.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// The machine-seconds and moves of the `nth` machine, needed while `nth` or more are.
    fn fewest_for(&self, nth: usize, move_seconds: u64) -> (u64, u64) {
        let needed = self
            .needs
            .iter()
            .filter(|(_, needed_machines)| **needed_machines >= nth);
        let mut last: Option<u64> = None;
        let (mut seconds, mut moves) = (0, 0);
        for (second, _) in needed {
            let pause = last.map(|last| second - last - 1);
            match pause {
                Some(pause) if pause < move_seconds => seconds += pause,
                _ => moves += 1,
            }
            seconds += 1;
            last = Some(*second);
        }
        (seconds, moves)
    }
}

fn main() -> io::Result<()> {
    let move_seconds: Option<u64> = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
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
        all.machine_seconds += sums.machine_seconds;
        all.bound += sums.bound;
        all.waiting += sums.waiting;
    }
    print("all", &all);
    if let Some(move_seconds) = move_seconds {
        print_least(&pools, move_seconds);
    }
    Ok(())
}

/// Prints a row: machine-seconds, their bound and ratio, and the task-seconds spent waiting.
fn print(pool: &str, sums: &Sums) {
    let times = sums.machine_seconds / sums.bound.max(1.0);
    println!(
        "{pool:<16} {:>8} {:>10.0} {:>10.0} {times:>6.2} {:>10}",
        sums.seconds, sums.machine_seconds, sums.bound, sums.waiting
    );
}

fn print_least(pools: &BTreeMap<Box<str>, Sums>, move_seconds: u64) {
    println!("\nfewest, where a move costs {move_seconds} s of a machine:");
    println!("{:<16} {:>15} {:>8}", "pool", "machine-seconds", "moves");
    let (mut seconds, mut moves) = (0, 0);
    for (pool, sums) in pools {
        let fewest = sums.fewest(move_seconds);
        println!("{pool:<16} {:>15} {:>8}", fewest.0, fewest.1);
        seconds += fewest.0;
        moves += fewest.1;
    }
    println!("{:<16} {seconds:>15} {moves:>8}", "all");
}
