//! Replays recorded traces through the decision logic and checks the results
//! against the expected outcomes stored next to them.
//!
//! `cargo run --release -p cleat-decide --example replay [TRACE.jsonl…]`; without
//! arguments, all traces in the crate's `traces` folder. With `--policies`, each
//! trace is run with the product's choice of target, with round robin and with a
//! random choice.

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
        paths = trace::all_paths();
    }
    if policies.is_some() {
        paths.iter().for_each(|path| compare(path));
        return ExitCode::SUCCESS;
    }
    let mut failures = 0;
    for path in &paths {
        failures += replay(path);
    }
    if failures == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one trace with each policy and prints the results.
fn compare(path: &Path) {
    let trace = match Trace::read(path) {
        Ok(trace) => trace,
        Err(error) => return println!("{} cannot be replayed: {error}", path.display()),
    };
    for policy in [Policy::Product, Policy::RoundRobin, Policy::Random] {
        let engine = Engine::run(&trace, policy, Protections::ALL);
        let statistics = report::statistics(&engine);
        println!("{} {policy:?} {}", path.display(), statistics.summary());
    }
}

/// Runs one trace, prints its results and returns the number of failed checks.
fn replay(path: &Path) -> usize {
    match report::check(path, Protections::ALL) {
        Ok(checked) => {
            println!("{} {}", path.display(), checked.statistics.summary());
            for failure in &checked.failures {
                println!("  FAILED {failure}");
            }
            checked.failures.len()
        }
        Err(error) => {
            println!("{} cannot be replayed: {error}", path.display());
            1
        }
    }
}
