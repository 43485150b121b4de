//! Records a second, and the time of one append and sync, against the batch size; then
//! the time of a snapshot.
//!
//! `cargo run --release -p cleat-log --example group_commit [FOLDER]`; the figures hold
//! for the disk under FOLDER, or under the system's temporary folder.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cleat_log::{Journal, Record, Snapshot};
use hdrhistogram::Histogram;

const PAYLOAD_BYTES: usize = 200;
const BATCHES: [u64; 4] = [1, 8, 64, 512];
const BEFORE: u64 = 100_000;
const AFTER: u64 = 1_000;
const SNAPSHOT_BYTES: usize = 1 << 20;
/// Rounds are interleaved over the sizes, so that a slow spell of the disk hits all.
const ROUNDS: usize = 3;
const ROUND: Duration = Duration::from_secs(1);

struct Run {
    batch: u64,
    records: u64,
    elapsed: Duration,
    micros: Histogram<u64>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let place = std::env::args_os().nth(1).map(PathBuf::from);
    let folder = tempfile::tempdir_in(place.unwrap_or_else(std::env::temp_dir))?;
    let (mut journal, _) = Journal::open(folder.path(), "bench")?;
    let mut runs = Vec::new();
    for batch in BATCHES {
        runs.push(Run {
            batch,
            records: 0,
            elapsed: Duration::ZERO,
            micros: Histogram::new(3)?,
        });
    }
    let mut next = 1;
    for _ in 0..ROUNDS {
        for run in &mut runs {
            round(&mut journal, run, &mut next)?;
        }
    }
    println!("batch   records/s   syncs/s   p50 us   p99 us   max us");
    for run in &runs {
        report(run);
    }
    drop(journal);
    snapshot(&folder.path().join("snapshot"))
}

/// How long appends have to wait for a snapshot.
fn snapshot(folder: &Path) -> Result<(), Box<dyn Error>> {
    let (mut journal, _) = Journal::open(folder, "bench")?;
    let records: Vec<Record> = (1..=BEFORE + AFTER).map(record).collect();
    journal.append(&records)?;
    journal.sync()?;
    let snapshot = Snapshot {
        index: BEFORE,
        term: 1,
        data: vec![7; SNAPSHOT_BYTES].into(),
    };
    let begin = Instant::now();
    journal.save_snapshot(&snapshot)?;
    let time = begin.elapsed();
    println!(
        "snapshot of {SNAPSHOT_BYTES} bytes, {BEFORE} records before, {AFTER} after: {time:?}"
    );
    let begin = Instant::now();
    drop(journal);
    let (_, found) = Journal::open(folder, "bench")?;
    println!(
        "open with {} records: {:?}",
        found.records.len(),
        begin.elapsed()
    );
    Ok(())
}

fn round(journal: &mut Journal, run: &mut Run, next: &mut u64) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    while start.elapsed() < ROUND {
        let records: Vec<Record> = (*next..*next + run.batch).map(record).collect();
        let begin = Instant::now();
        journal.append(&records)?;
        journal.sync()?;
        run.micros
            .record(u64::try_from(begin.elapsed().as_micros())?)?;
        *next += run.batch;
        run.records += run.batch;
    }
    run.elapsed += start.elapsed();
    Ok(())
}

fn record(index: u64) -> Record {
    let payload = [7; PAYLOAD_BYTES].into();
    Record {
        index,
        term: 1,
        payload,
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
fn report(run: &Run) {
    let second = run.elapsed.as_secs_f64();
    let records = run.records as f64 / second;
    let syncs = records / run.batch as f64;
    let [p50, p99] = [0.5, 0.99].map(|q| run.micros.value_at_quantile(q));
    let (batch, max) = (run.batch, run.micros.max());
    println!("{batch:>5} {records:>11.0} {syncs:>9.0} {p50:>8} {p99:>8} {max:>8}");
}
