//! Load in a closed loop or at a given rate, with every answer checked.

mod caller;
mod check;
mod options;
mod report;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use tokio::task::JoinSet;
use tokio::time::Instant;

pub use options::{LoadOptions, Pace};
pub use report::{LatencySummary, LoadReport};

use caller::Caller;
use report::Tally;

/// Runs a load to its end.
pub async fn run_load(options: LoadOptions) -> LoadReport {
    let options = Arc::new(options);
    let start = Instant::now();
    let mut callers = JoinSet::new();
    for index in 0..options.connections {
        callers.spawn(Caller::new(Arc::clone(&options), index).run(start));
    }
    let mut total = Tally::new();
    while let Some(tally) = callers.join_next().await {
        // A caller ends early only if it panics, which its own test shows.
        if let Ok(tally) = tally {
            total.merge(tally);
        }
    }
    total.report(start.elapsed())
}
