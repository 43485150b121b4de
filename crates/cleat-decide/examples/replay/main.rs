//! Replays recorded traces against the decisions and checks the outcomes stated
//! beside them.
//!
//! `cargo run --release -p cleat-decide --example replay [TRACE.jsonl…]`; without
//! a trace, all in the crate's `traces` folder. After `--policies`, each trace
//! is run with the product's choice of target, in turn and at random.

mod engine;
mod entry;
mod report;
mod request;
mod target;
mod trace;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use cleat_decide::Protections;

use engine::Engine;
use request::Policy;
use trace::Trace;

fn main() -> ExitCode {
    let mut paths: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let policies = paths.iter().position(|arg| arg.as_os_str() == "--policies");
    if let Some(position) = policies {
        paths.remove(position);
    }
    if paths.is_empty() {
        paths = trace::folder();
    }
    if policies.is_some() {
        paths.iter().for_each(|path| compare(path));
        return ExitCode::SUCCESS;
    }
    let mut failed = 0;
    for path in &paths {
        failed += replay(path);
    }
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one trace with each policy.
fn compare(path: &Path) {
    let trace = match Trace::read(path) {
        Ok(trace) => trace,
        Err(error) => return println!("{} cannot be replayed: {error}", path.display()),
    };
    for policy in [Policy::Product, Policy::RoundRobin, Policy::Random] {
        let engine = Engine::run(&trace, policy, Protections::ALL);
        let figures = report::figures(&engine);
        println!("{} {policy:?} {}", path.display(), figures.summary());
    }
}

fn replay(path: &Path) -> usize {
    match report::check(path, Protections::ALL) {
        Ok(checked) => {
            println!("{} {}", path.display(), checked.figures.summary());
            for fault in &checked.faults {
                println!("  FAILED {fault}");
            }
            checked.faults.len()
        }
        Err(error) => {
            println!("{} cannot be replayed: {error}", path.display());
            1
        }
    }
}
