//! One round: each side once under the same load.

use std::time::Duration;

use serde::Serialize;

use super::options::{BenchOptions, BenchSide};
use crate::{FakeError, LoadOptions, LoadReport, Pace, ProcessUsage, run_load};

const SIDES: [BenchSide; 3] = [BenchSide::Direct, BenchSide::Forwarder, BenchSide::Instance];
/// The longest warm-up of a side.
const WARM_UP: Duration = Duration::from_secs(1);
const MICROSECONDS: f64 = 1e6;

/// One measurement.
#[derive(Debug, Clone, Serialize)]
pub struct BenchRow {
    /// The round, counted from 0.
    pub round: u32,
    /// The way to the target.
    pub side: BenchSide,
    /// The length of the answers, in bytes.
    pub bytes: usize,
    /// Requests a second asked for; `None` in the closed loop.
    pub rate: Option<f64>,
    /// What the client saw.
    pub load: LoadReport,
    /// Processor time of the process between for each whole answer, in
    /// microseconds; 0 on the direct way.
    pub cpu_us: f64,
    /// Its resident memory afterwards, in bytes; 0 on the direct way.
    pub rss_bytes: u64,
}

pub(super) async fn warm_up(options: &BenchOptions, bytes: usize) {
    for side in SIDES {
        let mut load = load_options(options, 0, side, bytes, None);
        load.duration = options.duration.min(WARM_UP);
        run_load(load).await;
    }
}

pub(super) async fn run(
    options: &BenchOptions,
    round: u32,
    bytes: usize,
    rate: Option<f64>,
) -> Result<Vec<BenchRow>, FakeError> {
    let mut sides = SIDES;
    sides.rotate_left(round as usize % SIDES.len());
    let mut rows = Vec::new();
    for side in sides {
        rows.push(measure(options, round, side, bytes, rate).await?);
    }
    Ok(rows)
}

/// Half of what the slowest side reached.
pub(super) fn half_load(closed: &[BenchRow]) -> f64 {
    let rates = closed.iter().map(|row| row.load.per_second);
    rates.fold(f64::INFINITY, f64::min) / 2.0
}

async fn measure(
    options: &BenchOptions,
    round: u32,
    side: BenchSide,
    bytes: usize,
    rate: Option<f64>,
) -> Result<BenchRow, FakeError> {
    let before = usage(options, side)?;
    let load = run_load(load_options(options, round, side, bytes, rate)).await;
    let after = usage(options, side)?;
    let cpu = match (before, after) {
        (Some(before), Some(after)) => after.cpu.saturating_sub(before.cpu),
        _ => Duration::ZERO,
    };
    let cpu_us = cpu.as_secs_f64() * MICROSECONDS / load.whole.max(1) as f64;
    Ok(BenchRow {
        round,
        side,
        bytes,
        rate,
        load,
        cpu_us,
        rss_bytes: after.map_or(0, |usage| usage.rss_bytes),
    })
}

fn usage(options: &BenchOptions, side: BenchSide) -> Result<Option<ProcessUsage>, FakeError> {
    options.pid(side).map(ProcessUsage::of).transpose()
}

fn load_options(
    options: &BenchOptions,
    round: u32,
    side: BenchSide,
    bytes: usize,
    rate: Option<f64>,
) -> LoadOptions {
    LoadOptions {
        address: options.address(side),
        path: format!("/{}/bench", options.service).into(),
        bytes,
        connections: options.connections,
        pace: rate.map_or(Pace::Closed, Pace::Open),
        duration: options.duration,
        id_prefix: format!("bench-{round}").into(),
        ..LoadOptions::default()
    }
}
