//! The attempts of one request, within one deadline.

use std::sync::Arc;

use cleat_decide::{AttemptContext, FinalOutcome, RetryDecision, UnknownReason};
use http::Version;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::TargetResponse;
use super::exchange::{AttemptOptions, exchange};
use crate::counters::Counters;
use crate::problem::{Problem, ProblemKind};
use crate::response::{Chunks, Received, StreamedBody};
use crate::service::Slot;
use crate::upstream::Failure;

/// What the attempts of a request need besides their first slot.
pub(super) struct AttemptLoop<'a> {
    pub(super) options: AttemptOptions<'a>,
    pub(super) idempotent: bool,
    pub(super) max_attempts: u32,
    /// The HTTP version of the caller. With HTTP/1.0, a truncated response
    /// can't be distinguished from the end of a body of unknown length.
    pub(super) version: Version,
    pub(super) counters: &'a Counters,
    /// Notified when a retry has to wait.
    pub(super) waiter_added: &'a Notify,
}

/// The progress of the attempts.
#[derive(Default)]
struct Progress {
    attempts: u32,
    /// Whether an attempt before the current one may have run.
    may_have_run: bool,
    /// The response of an attempt that was retried, used if all later attempts
    /// fail.
    fallback: Option<TargetResponse>,
}

/// The consequence of one attempt.
enum Step {
    Done(Result<TargetResponse, Problem>),
    /// Retry on another target than this one.
    Retry(Arc<crate::target::Target>),
}

impl AttemptLoop<'_> {
    /// Makes attempts until there is a final response.
    ///
    /// # Errors
    /// The final response to the caller, if it is not a response of a target.
    pub(super) async fn run(&self, mut slot: Slot) -> Result<TargetResponse, Problem> {
        let service = Arc::clone(slot.service());
        let mut progress = Progress::default();
        loop {
            let previous = match self.step(slot, &mut progress).await {
                Step::Done(result) => return result,
                Step::Retry(target) => target,
            };
            let on_wait = || self.waiter_added.notify_one();
            let retry = service.retry(&previous, self.options.deadline, on_wait);
            slot = match retry.await {
                Some(slot) => slot,
                None => return progress.give_up(),
            };
        }
    }

    async fn step(&self, mut slot: Slot, progress: &mut Progress) -> Step {
        progress.attempts += 1;
        self.counters.attempts.incr();
        let result = exchange(&mut slot, &self.options).await;
        match result {
            Ok(Received::Complete(parts, chunks)) => {
                self.handle_response(slot, parts, chunks, progress)
            }
            Ok(Received::Partial(parts, buffered, rest)) => {
                if !self.can_stream(&parts) {
                    let kind = ProblemKind::ResponseTooLarge;
                    return Step::Done(Err(Problem::new(kind)));
                }
                self.counters.streamed.incr();
                let status = parts.status.as_u16();
                let deadline = self.options.deadline;
                let stream = StreamedBody::new(buffered, rest, slot, deadline, status);
                Step::Done(Ok(TargetResponse::Streamed(parts, Box::new(stream))))
            }
            Err(failure) => self.handle_failure(slot, failure, progress),
        }
    }

    fn handle_response(
        &self,
        slot: Slot,
        parts: Parts,
        chunks: Chunks,
        progress: &mut Progress,
    ) -> Step {
        let status = parts.status.as_u16();
        let response = TargetResponse::Complete(parts, chunks);
        let outcome = cleat_decide::AttemptOutcome::Answered { status };
        let target = slot.target().cloned();
        let service = Arc::clone(slot.service());
        let decision = service.finish_attempt(slot, outcome, self.context(progress));
        match (decision, target) {
            (RetryDecision::Retry, Some(target)) => {
                progress.fallback = Some(response);
                self.schedule_retry(target, true, progress)
            }
            _ => Step::Done(Ok(response)),
        }
    }

    fn handle_failure(&self, slot: Slot, failure: Failure, progress: &mut Progress) -> Step {
        let outcome = failure.outcome();
        let target = slot.target().cloned();
        let service = Arc::clone(slot.service());
        let decision = service.finish_attempt(slot, outcome, self.context(progress));
        match (decision, target) {
            (RetryDecision::Retry, Some(target)) => {
                self.schedule_retry(target, outcome.may_have_run(), progress)
            }
            (
                RetryDecision::Answer(FinalOutcome::NotRun {
                    reason,
                    retry_after,
                }),
                _,
            ) => Step::Done(Err(Problem::retry_after(reason.into(), retry_after))),
            (RetryDecision::Answer(FinalOutcome::Unknown { reason }), _) => {
                let kind = unknown_outcome_kind(reason, failure);
                Step::Done(progress.fallback_or(kind))
            }
            _ => Step::Done(progress.give_up()),
        }
    }

    fn schedule_retry(
        &self,
        target: Arc<crate::target::Target>,
        may_have_run: bool,
        progress: &mut Progress,
    ) -> Step {
        self.counters.retries.incr();
        progress.may_have_run |= may_have_run;
        Step::Retry(target)
    }

    fn context(&self, progress: &Progress) -> AttemptContext {
        AttemptContext {
            idempotent: self.idempotent,
            attempts: progress.attempts,
            max_attempts: self.max_attempts,
            remaining: self
                .options
                .deadline
                .saturating_duration_since(Instant::now()),
            earlier_may_have_run: progress.may_have_run,
            // Set by `ServiceState::finish_attempt`.
            expected_duration: std::time::Duration::ZERO,
        }
    }

    fn can_stream(&self, parts: &Parts) -> bool {
        self.version >= Version::HTTP_11 || parts.headers.contains_key(CONTENT_LENGTH)
    }
}

impl Progress {
    /// The final response if no further attempt is possible.
    fn give_up(&mut self) -> Result<TargetResponse, Problem> {
        if self.may_have_run {
            self.fallback_or(ProblemKind::EarlierAttempt)
        } else {
            Err(Problem::new(ProblemKind::TargetsUnreachable))
        }
    }

    /// Any response of a target is preferred to a problem response.
    fn fallback_or(&mut self, kind: ProblemKind) -> Result<TargetResponse, Problem> {
        self.fallback.take().ok_or(Problem::new(kind))
    }
}

fn unknown_outcome_kind(reason: UnknownReason, failure: Failure) -> ProblemKind {
    match (reason, failure) {
        (UnknownReason::EarlierAttempt, _) => ProblemKind::EarlierAttempt,
        (UnknownReason::TimedOut, _) => ProblemKind::TargetTimedOut,
        (UnknownReason::ConnectionLost, _) => ProblemKind::TargetConnectionLost,
        (UnknownReason::Malformed, Failure::Unframed) => ProblemKind::ResponseUnframed,
        (UnknownReason::Malformed, Failure::TrailingBytes) => ProblemKind::ResponseSurplus,
        (UnknownReason::Malformed, _) => ProblemKind::ResponseMalformed,
    }
}
