//! Responses that are forwarded while they are received.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cleat_decide::{AttemptContext, AttemptOutcome};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

use super::Chunks;
use super::body::ResponseTruncated;
use crate::service::Slot;
use crate::upstream::Failure;

/// The body of a response that is too large to buffer.
///
/// It holds its slot until the last byte of the target, but not beyond the
/// deadline, however slowly the caller reads. Any failure ends the body with an
/// error, which closes the connection to the caller.
pub(crate) struct StreamedBody {
    buffered: Chunks,
    rest: Incoming,
    slot: SharedSlot,
    /// Whether all bytes of the target were forwarded.
    is_complete: bool,
    status: u16,
    watchdog: AbortHandle,
}

/// `None` once the response is complete, truncated or past its deadline.
#[derive(Clone)]
struct SharedSlot(Arc<Mutex<Option<Slot>>>);

impl StreamedBody {
    pub(crate) fn new(
        buffered: Chunks,
        rest: Incoming,
        slot: Slot,
        deadline: Instant,
        status: u16,
    ) -> StreamedBody {
        let slot = SharedSlot(Arc::new(Mutex::new(Some(slot))));
        let watched_slot = slot.clone();
        // A separate task is needed, because hyper does not poll the body while
        // the caller is not reading.
        let watchdog = tokio::spawn(async move {
            sleep_until(deadline).await;
            watched_slot.finish_attempt(Failure::TimedOut.outcome());
        });
        StreamedBody {
            buffered,
            rest,
            slot,
            is_complete: false,
            status,
            watchdog: watchdog.abort_handle(),
        }
    }

    pub(super) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        if let Some(chunk) = self.buffered.pop() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.is_complete {
            return Poll::Ready(None);
        }
        loop {
            match self.poll_rest(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers may be discarded (RFC 9110, 6.5).
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.forward(data)));
                    }
                }
                Poll::Ready(Some(Err(failure))) => return self.fail(failure),
                Poll::Ready(None) => return self.finish(),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(buffered + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let mut slot = self.slot.lock();
        match slot.as_mut().and_then(Slot::upstream) {
            Some(upstream) => upstream.poll_frame(&mut self.rest, cx),
            None => Poll::Ready(Some(Err(Failure::TimedOut))),
        }
    }

    fn forward(&mut self, data: Bytes) -> Result<Frame<Bytes>, ResponseTruncated> {
        // hyper does not poll the body again after the last byte of a stated
        // length.
        if self.rest.is_end_stream() {
            self.complete()?;
        }
        Ok(Frame::data(data))
    }

    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        match self.complete() {
            Ok(()) => Poll::Ready(None),
            Err(broken) => Poll::Ready(Some(Err(broken))),
        }
    }

    fn complete(&mut self) -> Result<(), ResponseTruncated> {
        if let Err(failure) = self.slot.mark_reusable() {
            self.slot.finish_attempt(failure.outcome());
            return Err(failure.into());
        }
        self.is_complete = true;
        let status = self.status;
        self.slot
            .finish_attempt(AttemptOutcome::Answered { status });
        Ok(())
    }

    fn fail(&mut self, failure: Failure) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        self.slot.finish_attempt(failure.outcome());
        Poll::Ready(Some(Err(failure.into())))
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.watchdog.abort();
        // If the slot is still held, it is released without an outcome.
        let slot = self.slot.lock().take();
        drop(slot);
    }
}

impl SharedSlot {
    /// Checks that the connection can be used for another exchange and marks it
    /// as reusable.
    fn mark_reusable(&self) -> Result<(), Failure> {
        let mut slot = self.lock();
        let slot = slot.as_mut().ok_or(Failure::TimedOut)?;
        if let Some(upstream) = slot.upstream() {
            upstream.check_trailing_bytes()?;
        }
        slot.mark_reusable();
        Ok(())
    }

    fn finish_attempt(&self, outcome: AttemptOutcome) {
        let slot = self.lock().take();
        if let Some(slot) = slot {
            let service = Arc::clone(slot.service());
            service.finish_attempt(slot, outcome, FINAL_ATTEMPT);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Slot>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// No retry is possible, because part of the response was already forwarded.
const FINAL_ATTEMPT: AttemptContext = AttemptContext {
    idempotent: false,
    attempts: 1,
    max_attempts: 1,
    remaining: Duration::ZERO,
    earlier_may_have_run: true,
    expected_duration: Duration::ZERO,
};
