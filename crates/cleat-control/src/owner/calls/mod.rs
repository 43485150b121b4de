//! The calls of an owner that have not completed yet.

use std::pin::Pin;

use cleat_jobs::Event;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use tokio::task::coop::{Unconstrained, unconstrained};

use super::MAX_EVENT_BATCH;

/// A pending call; it resolves to the event to handle, if there is one.
pub(super) type PendingCall = Pin<Box<dyn Future<Output = Option<Event>> + Send>>;

/// The calls that have not completed yet.
///
/// They are polled outside the budget that the runtime gives a task for each poll. All of them
/// belong to one task: once it had used up its budget, each further call was polled in vain, and
/// again in the next turn, so that an owner with hundreds of ready calls handled few of them in a
/// turn. The event loop has to yield instead, see [`PendingCalls::collect_completed`].
#[derive(Default)]
pub(super) struct PendingCalls(FuturesUnordered<Unconstrained<PendingCall>>);

impl PendingCalls {
    pub(super) fn push(&self, call: PendingCall) {
        self.0.push(unconstrained(call));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits for the next call to complete; `None` if there are none.
    pub(super) async fn next(&mut self) -> Option<Option<Event>> {
        self.0.next().await
    }

    /// Adds the events of calls that have already completed, as the scheduler handles a
    /// batch of events at little more cost than a single one. Returns whether no completed
    /// call is left; otherwise the event loop has to yield after it has handled the batch.
    pub(super) fn collect_completed(&mut self, events: &mut Vec<Event>) -> bool {
        while events.len() < MAX_EVENT_BATCH {
            let Some(Some(event)) = self.0.next().now_or_never() else {
                return true;
            };
            events.extend(event);
        }
        false
    }
}

#[cfg(test)]
mod tests;
