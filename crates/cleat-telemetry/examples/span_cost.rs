//! Nanoseconds a request for its five spans: without any, untraced, and traced.
//!
//! `cargo run --release -p cleat-telemetry --example span_cost`. Rounds are interleaved;
//! the best and the median round are printed. Traced spans go to a temporary file; what
//! the exporter's queue could not take was dropped, as the count of lines shows.

use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::time::Instant;

use cleat_settings::Settings;
use cleat_telemetry::{Telemetry, context_from, inject, request_span};
use tracing::info_span;

const REQUESTS: u32 = 20_000;
const ROUNDS: usize = 9;
const SAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const UNSAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

type Case = (&'static str, fn());

const CASES: [Case; 4] = [
    ("no spans at all", || {
        for step in 0..4 {
            black_box(step);
        }
    }),
    ("untraced, no traceparent", || request(None)),
    ("untraced by traceparent", || request(Some(UNSAMPLED))),
    ("traced", || request(Some(SAMPLED))),
];

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("log");
    let mut settings = Settings::dev();
    settings.log.file = Some(file.clone());
    settings.trace.ratio_percent = 0;
    let telemetry = Telemetry::start(&settings)?;
    let mut rounds = CASES.map(|_| Vec::new());
    for _ in 0..ROUNDS {
        for ((_, case), found) in CASES.iter().zip(&mut rounds) {
            found.push(nanos(*case));
        }
    }
    telemetry.shutdown().await;
    println!("ns a request      best  median");
    for ((name, _), mut found) in CASES.iter().zip(rounds) {
        found.sort_unstable();
        println!("{name:<26} {:>6} {:>6}", found[0], found[ROUNDS / 2]);
    }
    let lines = fs::read_to_string(file)?.lines().count();
    let made = 5 * ROUNDS * REQUESTS as usize;
    println!("{lines} of {made} traced spans were written");
    Ok(())
}

fn nanos(case: fn()) -> u128 {
    let start = Instant::now();
    for _ in 0..REQUESTS {
        case();
    }
    start.elapsed().as_nanos() / u128::from(REQUESTS)
}

fn request(traceparent: Option<&str>) {
    let get = |name: &str| traceparent.filter(|_| name == "traceparent");
    let span = request_span(context_from(get).as_ref());
    let entered = span.enter();
    for step in ["admitted", "chosen", "sent", "answered"] {
        let step = info_span!(target: "cleat_entry", "step", step);
        step.in_scope(|| black_box(()));
    }
    drop(entered);
    inject(&span, |_, value| drop(black_box(value)));
}
