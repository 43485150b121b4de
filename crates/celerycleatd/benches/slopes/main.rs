//! Measures what control costs each role, by count: the slopes behind
//! docs/CAPACITY.md. Prints one JSON line a daemon, size and repeat, then medians,
//! spreads and slopes.
//!
//! `cargo bench -p celerycleatd --bench slopes [-- members|targets|config|keys]`

#[path = "../../tests/support/mod.rs"]
mod support;

mod config;
mod keys;
mod members;
mod sample;
mod summary;
mod targets;

use std::future::Future;

/// Each size is measured this often.
pub(crate) const REPEATS: u32 = 3;

fn main() {
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| a != "--bench")
        .collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let run = |name: &str| wanted.is_empty() || wanted.iter().any(|w| w == name);
    runtime.block_on(async {
        maybe(run("members"), members::measure()).await;
        maybe(run("targets"), targets::measure()).await;
        maybe(run("config"), config::measure()).await;
        maybe(run("keys"), keys::measure()).await;
    });
    summary::print();
}

async fn maybe(run: bool, measure: impl Future<Output = ()>) {
    if run {
        measure.await;
    }
}
