//! Work that goes on when its caller goes away.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::runtime::Handle;

/// Whether work has begun that has to run to its end.
#[derive(Debug, Clone, Default)]
pub(crate) struct Commitment(Arc<AtomicBool>);

impl Commitment {
    /// From now on the work goes on without its caller.
    pub(crate) fn commit(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_committed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A future that, once committed, is carried on by a task of its own when it
/// is dropped before its end.
pub(crate) struct Detached<F: Future<Output = T> + Send + 'static, T: Send + 'static> {
    work: Option<Pin<Box<F>>>,
    commitment: Commitment,
}

impl<F: Future<Output = T> + Send + 'static, T: Send + 'static> Detached<F, T> {
    pub(crate) fn new(work: F, commitment: Commitment) -> Self {
        let work = Some(Box::pin(work));
        Detached { work, commitment }
    }
}

impl<F: Future<Output = T> + Send + 'static, T: Send + 'static> Future for Detached<F, T> {
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

impl<F: Future<Output = T> + Send + 'static, T: Send + 'static> Drop for Detached<F, T> {
    fn drop(&mut self) {
        let Some(work) = self.work.take() else {
            return;
        };
        if !self.commitment.is_committed() {
            return;
        }
        // Without a runtime the process is ending.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(work);
        }
    }
}
