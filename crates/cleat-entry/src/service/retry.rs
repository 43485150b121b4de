//! Retries that wait for a slot of another target.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use super::waiting::Wake;
use super::{ServiceState, Slot};
use crate::target::Target;

/// Retries in order. They go before what waits in the gate: they were admitted
/// before. The retry budget bounds their number.
#[derive(Default)]
pub(super) struct Retries {
    waiting: VecDeque<Retry>,
}

struct Retry {
    /// The target tried before, unless the service has no other.
    exclude: Option<Arc<Target>>,
    tx: oneshot::Sender<Wake>,
}

impl Retries {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The target that the first retry must not go to, if there is a retry.
    pub(super) fn first(&mut self) -> Option<Option<Arc<Target>>> {
        self.waiting.retain(|retry| !retry.tx.is_closed());
        let first = self.waiting.front()?;
        Some(first.exclude.clone())
    }

    pub(super) fn take_first(&mut self) -> Option<oneshot::Sender<Wake>> {
        self.waiting.pop_front().map(|retry| retry.tx)
    }

    /// Gives up all.
    pub(super) fn close(&mut self) {
        self.waiting.clear();
    }
}

impl ServiceState {
    /// A slot for another try, on another target than `before`, or on the same
    /// if the service has no other. `None` if there is none until `deadline`.
    pub(crate) async fn retry(
        self: &Arc<Self>,
        before: &Arc<Target>,
        deadline: Instant,
    ) -> Option<Slot> {
        let rx = match self.begin_retry(before) {
            Ok(slot) => return Some(slot),
            Err(rx) => rx?,
        };
        match timeout_at(deadline, rx).await {
            Ok(Ok(Wake::Start(slot))) => Some(slot),
            _ => None,
        }
    }

    fn begin_retry(
        self: &Arc<Self>,
        before: &Arc<Target>,
    ) -> Result<Slot, Option<oneshot::Receiver<Wake>>> {
        let now = self.now();
        let mut inner = self.lock();
        if !inner.has_capacity() {
            return Err(None);
        }
        inner.look(now);
        let exclude = inner.has_other(before).then_some(before);
        if let Some(target) = inner.place(exclude) {
            return Ok(Slot::new(Arc::clone(self), target, now));
        }
        let (tx, rx) = oneshot::channel();
        let exclude = exclude.cloned();
        inner.retries().waiting.push_back(Retry { exclude, tx });
        Err(Some(rx))
    }
}
