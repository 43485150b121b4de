//! Direct, bare forwarder and instance side by side in one run.

mod options;
mod round;
mod summary;
mod table;

pub use options::{BenchOptions, BenchSide};
pub use round::BenchRow;
pub use summary::BenchSummary;
pub use table::format_table;

use crate::FakeError;

/// Runs every round and reports each row as it is measured.
///
/// The sides take turns within a round, and the first one changes from round
/// to round, so that a drift of the machine does not favour one of them.
///
/// # Errors
/// [`FakeError::Process`] if a measured process is gone.
pub async fn bench_path(
    options: &BenchOptions,
    mut report: impl FnMut(&BenchRow),
) -> Result<Vec<BenchSummary>, FakeError> {
    let mut rows = Vec::new();
    for bytes in options.sizes.iter().copied() {
        round::warm_up(options, bytes).await;
        let mut half_load = options.rate;
        for number in 0..options.rounds {
            let closed = round::run(options, number, bytes, None).await?;
            let rate = *half_load.get_or_insert_with(|| round::half_load(&closed));
            let open = round::run(options, number, bytes, Some(rate)).await?;
            for row in closed.into_iter().chain(open) {
                report(&row);
                rows.push(row);
            }
        }
    }
    Ok(summary::summarize(&rows))
}
