//! An answer passed on while it still comes.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cleat_decide::{AttemptOutcome, RequestFacts};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use super::Chunks;
use super::body::BrokenOff;
use crate::service::Slot;
use crate::upstream::Failure;

/// The rest of an answer that was too large to hold.
///
/// It holds its slot until the target's last byte. Whatever goes wrong ends it
/// with an error, which breaks the caller's connection.
pub(crate) struct Stream {
    begun: Chunks,
    rest: Incoming,
    /// `None` once the answer ended or broke off.
    slot: Option<Slot>,
    deadline: Pin<Box<Sleep>>,
    status: u16,
}

impl Stream {
    pub(crate) fn new(
        begun: Chunks,
        rest: Incoming,
        slot: Slot,
        deadline: Instant,
        status: u16,
    ) -> Stream {
        Stream {
            begun,
            rest,
            slot: Some(slot),
            deadline: Box::pin(sleep_until(deadline)),
            status,
        }
    }

    pub(super) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if let Some(chunk) = self.begun.pop() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        loop {
            let Some(upstream) = self.slot.as_mut().and_then(Slot::upstream) else {
                return Poll::Ready(None);
            };
            match upstream.poll_frame(&mut self.rest, cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers may be discarded (RFC 9110, 6.5).
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.pass_on(data)));
                    }
                }
                Poll::Ready(Some(Err(failure))) => return self.break_off(failure),
                Poll::Ready(None) => return self.finish(),
                Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                    return self.break_off(Failure::Late);
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        let begun = self.begun.len() as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(begun + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(begun + upper);
        }
        hint
    }

    fn pass_on(&mut self, data: Bytes) -> Result<Frame<Bytes>, BrokenOff> {
        // hyper does not ask again after the last byte of a stated length.
        if self.rest.is_end_stream() {
            self.end_whole()?;
        }
        Ok(Frame::data(data))
    }

    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.end_whole() {
            Ok(()) => Poll::Ready(None),
            Err(broken) => Poll::Ready(Some(Err(broken))),
        }
    }

    fn end_whole(&mut self) -> Result<(), BrokenOff> {
        let settled = self.slot.as_mut().and_then(Slot::upstream);
        let settled = settled.map_or(Ok(()), |upstream| upstream.settle());
        if let Err(failure) = settled {
            self.conclude(failure.outcome());
            return Err(failure.into());
        }
        if let Some(slot) = &mut self.slot {
            slot.set_reusable();
        }
        let status = self.status;
        self.conclude(AttemptOutcome::Answered { status });
        Ok(())
    }

    fn break_off(&mut self, failure: Failure) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        self.conclude(failure.outcome());
        Poll::Ready(Some(Err(failure.into())))
    }

    fn conclude(&mut self, outcome: AttemptOutcome) {
        if let Some(slot) = self.slot.take() {
            let service = Arc::clone(slot.service());
            // The answer was begun: nothing but its end can follow.
            service.conclude(slot, outcome, FINAL);
        }
    }
}

const FINAL: RequestFacts = RequestFacts {
    idempotent: false,
    tries: 1,
    max_tries: 1,
    remaining: Duration::ZERO,
    may_have_run: true,
    expected: Duration::ZERO,
};
