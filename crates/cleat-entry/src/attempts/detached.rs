//! Futures that keep running when their caller disconnects.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::runtime::Handle;

/// Whether the future must run to completion.
#[derive(Debug, Clone, Default)]
pub(crate) struct Commitment(Arc<AtomicBool>);

impl Commitment {
    /// From now on, the future runs to completion even if its caller
    /// disconnects.
    pub(crate) fn commit(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_committed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A future that is moved to its own task if it is dropped before completion,
/// provided that it was committed.
pub(crate) struct Detached<T: Send + 'static> {
    work: Option<Work<T>>,
    commitment: Commitment,
}

type Work<T> = Pin<Box<dyn Future<Output = T> + Send>>;

impl<T: Send + 'static> Detached<T> {
    pub(super) fn new(work: Work<T>, commitment: Commitment) -> Self {
        let work = Some(work);
        Detached { work, commitment }
    }
}

impl<T: Send + 'static> Future for Detached<T> {
    type Output = T;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<T> {
        let Some(work) = &mut self.work else {
            return Poll::Pending;
        };
        let result = work.as_mut().poll(cx);
        if result.is_ready() {
            self.work = None;
        }
        result
    }
}

impl<T: Send + 'static> Drop for Detached<T> {
    fn drop(&mut self) {
        let Some(work) = self.work.take() else {
            return;
        };
        if !self.commitment.is_committed() {
            return;
        }
        // Without a runtime, the process is ending.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(work);
        }
    }
}
