//! Medians over the rounds.

use serde::Serialize;

use super::options::BenchSide;
use super::round::BenchRow;
use crate::LatencySummary;

/// The median over the rounds of one side, size and loop.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BenchSummary {
    /// The way to the target.
    pub side: BenchSide,
    /// The length of the answers, in bytes.
    pub bytes: usize,
    /// Requests a second asked for; `None` in the closed loop.
    pub rate: Option<f64>,
    /// Requests a second reached.
    pub per_second: f64,
    /// Processor time of the process between for each request, in µs.
    pub cpu_us: f64,
    /// The least and the most of that over the rounds.
    pub cpu_us_range: (f64, f64),
    /// Processor time as a multiple of the forwarder's.
    pub cpu_ratio: f64,
    /// What the side adds to the latency of the direct way, each round
    /// compared with its own direct measurement.
    pub added: LatencySummary,
    /// The most resident memory seen after a round, in bytes.
    pub rss_bytes: u64,
    /// Answers that were not whole and own, over all rounds.
    pub bad: u64,
}

/// Summarizes `rows` by side, size and loop, in the order of appearance.
pub(super) fn summarize(rows: &[BenchRow]) -> Vec<BenchSummary> {
    let mut done: Vec<BenchSummary> = Vec::new();
    for row in rows {
        let known = |s: &BenchSummary| s.side == row.side && is_same_load(s.bytes, s.rate, row);
        if !done.iter().any(known) {
            done.push(summarize_one(rows, row));
        }
    }
    done
}

fn is_same_load(bytes: usize, rate: Option<f64>, row: &BenchRow) -> bool {
    bytes == row.bytes && rate.is_some() == row.rate.is_some()
}

fn summarize_one(rows: &[BenchRow], like: &BenchRow) -> BenchSummary {
    let of = |side: BenchSide| {
        let same = move |row: &&BenchRow| row.side == side;
        let load = |row: &&BenchRow| is_same_load(like.bytes, like.rate, row);
        rows.iter().filter(same).filter(load).collect::<Vec<_>>()
    };
    let own = of(like.side);
    let direct = of(BenchSide::Direct);
    let cpu = |rows: &[&BenchRow]| rows.iter().map(|row| row.cpu_us).collect::<Vec<_>>();
    let own_cpu = cpu(&own);
    let cpu_us = median(own_cpu.clone());
    let forwarder_cpu = median(cpu(&of(BenchSide::Forwarder)));
    let pair = |pick: fn(&LatencySummary) -> f64| {
        let pairs = own.iter().zip(&direct);
        let added = pairs.map(|(own, direct)| pick(&own.load.latency) - pick(&direct.load.latency));
        median(added.collect())
    };
    BenchSummary {
        side: like.side,
        bytes: like.bytes,
        rate: like.rate,
        per_second: median(own.iter().map(|row| row.load.per_second).collect()),
        cpu_us,
        cpu_us_range: range(&own_cpu),
        cpu_ratio: cpu_us / forwarder_cpu,
        added: LatencySummary {
            p50_us: pair(|l| l.p50_us),
            p99_us: pair(|l| l.p99_us),
            p999_us: pair(|l| l.p999_us),
            max_us: pair(|l| l.max_us),
        },
        rss_bytes: own.iter().map(|row| row.rss_bytes).max().unwrap_or(0),
        bad: own.iter().map(|row| bad(row)).sum(),
    }
}

/// Answers of a target that are whole and own carry status 200; all else,
/// refusals too, spoils a bench.
fn bad(row: &BenchRow) -> u64 {
    let good = row.load.statuses.get(&200).copied().unwrap_or(0);
    let spoilt = row.load.faulty + row.load.cut + row.load.failed;
    spoilt.max(row.load.sent.saturating_sub(good))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        n if n % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

fn range(values: &[f64]) -> (f64, f64) {
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(0.0, f64::max);
    (least, most)
}
