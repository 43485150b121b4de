//! Reports of workers that their life ends now, until they may be answered.

#[cfg(test)]
mod tests;

use std::sync::{Mutex, PoisonError};

use cleat_jobs::worker_id;
use indexmap::IndexMap;
use tokio::sync::oneshot;

/// The reports that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    /// By the worker's id, without its life.
    waiting: Mutex<IndexMap<Box<str>, Vec<oneshot::Sender<()>>>>,
}

impl Departures {
    /// Registers a report. The receiver resolves once the worker has departed; it fails if
    /// the report is dropped.
    pub(crate) fn register(&self, worker: &str) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        // Those whose caller has given up would otherwise stay.
        waiting.retain(|_, reports| {
            reports.retain(|report| !report.is_closed());
            !reports.is_empty()
        });
        waiting
            .entry(worker_id(worker).into())
            .or_default()
            .push(tx);
        rx
    }

    /// Resolves the reports of a worker, which is named by its id.
    pub(crate) fn complete(&self, id: &str) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let reports = waiting.swap_remove(id).unwrap_or_default();
        drop(waiting);
        for report in reports {
            // The caller may have given up.
            let _ = report.send(());
        }
    }
}
