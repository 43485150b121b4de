//! Replays traces and measures placements.

use std::path::Path;

use cleat_place::Protections;

mod carry;
mod platform;
mod trace;
mod watch;

fn main() {
    for path in std::env::args().skip(1) {
        let mut p = Protections::ALL;
        if std::env::var("PROBE").is_ok() {
            p.probing = false;
        }
        if std::env::var("CORR").is_ok() {
            p.correction = false;
        }
        let (platform, faults) = trace::replay(Path::new(&path), p);
        println!("{path}: {:?}", platform.tally);
        println!("{:?} {faults:?}", platform.placement.stats());
    }
}
