//! Retries that wait for a slot of another target.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::waiting::Wake;
use super::{ServiceState, Slot};
use crate::target::Target;

/// Less time than this is never enough for a try.
const TRY_TIME_MIN: Duration = Duration::from_millis(1);

/// Retries in order. They go before what waits in the gate: they were admitted
/// before. The retry budget bounds their number.
#[derive(Default)]
pub(super) struct Retries {
    waiting: VecDeque<Retry>,
}

struct Retry {
    /// The target tried before, unless the service has no other.
    exclude: Option<Arc<Target>>,
    /// A try begun later could not end in time.
    latest: Duration,
    tx: oneshot::Sender<Wake>,
}

impl Retries {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// The target that the first retry must not go to, if there is a retry.
    pub(super) fn first(&mut self, now: Duration) -> Option<Option<Arc<Target>>> {
        self.expire(now);
        self.waiting.retain(|retry| !retry.tx.is_closed());
        let first = self.waiting.front()?;
        Some(first.exclude.clone())
    }

    /// Gives up what could no longer end in time.
    pub(super) fn expire(&mut self, now: Duration) {
        self.waiting.retain(|retry| now < retry.latest);
    }

    pub(super) fn take_first(&mut self) -> Option<oneshot::Sender<Wake>> {
        self.waiting.pop_front().map(|retry| retry.tx)
    }

    /// Gives up all.
    pub(super) fn close(&mut self) {
        self.waiting.clear();
    }
}

/// What a retry leads to at once.
enum Begun {
    Started(Slot),
    Waits(oneshot::Receiver<Wake>),
    Hopeless,
}

impl ServiceState {
    /// A slot for another try, on another target than `before`, or on the same
    /// if the service has no other. `None` as soon as no slot could lead to an
    /// answer before `deadline`. `on_wait` is called if there is none at once.
    pub(crate) async fn retry(
        self: &Arc<Self>,
        before: &Arc<Target>,
        deadline: Instant,
        on_wait: impl FnOnce(),
    ) -> Option<Slot> {
        match self.begin_retry(before, deadline) {
            Begun::Started(slot) => Some(slot),
            Begun::Hopeless => None,
            Begun::Waits(rx) => {
                on_wait();
                match rx.await {
                    Ok(Wake::Start(slot)) => Some(slot),
                    // Given up, the sender is dropped.
                    _ => None,
                }
            }
        }
    }

    fn begin_retry(self: &Arc<Self>, before: &Arc<Target>, deadline: Instant) -> Begun {
        let now = self.now();
        let mut inner = self.lock();
        let expected = inner.service_time_p10().max(TRY_TIME_MIN);
        let latest = self.at(deadline).saturating_sub(expected);
        if !inner.has_capacity() || now >= latest {
            return Begun::Hopeless;
        }
        inner.look(now);
        let exclude = inner.has_other(before).then_some(before);
        if let Some(target) = inner.place(exclude) {
            return Begun::Started(Slot::new(Arc::clone(self), target, now));
        }
        let (tx, rx) = oneshot::channel();
        let retry = Retry {
            exclude: exclude.cloned(),
            latest,
            tx,
        };
        inner.retries().waiting.push_back(retry);
        self.slots().want(inner.missing());
        Begun::Waits(rx)
    }
}
