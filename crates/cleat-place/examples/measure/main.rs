//! Replays traces and measures placements.
//!
//! `measure replay TRACE…` checks traces against their outcomes; `measure
//! speed` times decisions and counts bytes of state; `measure packing` compares
//! best fit with first fit and with the computed lower bounds.

use std::path::Path;

use cleat_place::Protections;

mod carry;
mod packing;
mod platform;
mod speed;
mod trace;
mod watch;

fn main() {
    let mut args = std::env::args().skip(1);
    match args.next().as_deref() {
        Some("replay") => args.for_each(|path| replay(&path)),
        Some("speed") => speed::measure(),
        Some("packing") => packing::measure(),
        _ => eprintln!("usage: measure replay TRACE… | speed | packing"),
    }
}

fn replay(path: &str) {
    let (platform, faults) = trace::replay(Path::new(path), Protections::ALL);
    let stats = platform.placement.stats();
    let result = if faults.is_empty() { "ok" } else { "FAILED" };
    println!("{path}: {result}");
    println!("  {stats:?}");
    for fault in faults {
        println!("  {fault}");
    }
}
