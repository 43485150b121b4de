//! The tries of one request, under one deadline.

use std::sync::Arc;

use cleat_decide::{AttemptContext, FinalOutcome, RetryDecision, UnknownReason};
use http::Version;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Answer;
use super::exchange::{Terms, exchange};
use crate::answer::{Chunks, Received, Stream};
use crate::counters::Counters;
use crate::problem::{Problem, ProblemKind};
use crate::service::Slot;
use crate::upstream::Failure;

/// What the tries need besides their first slot.
pub(super) struct Tries<'a> {
    pub(super) terms: Terms<'a>,
    pub(super) idempotent: bool,
    pub(super) tries_max: u32,
    /// The caller's version: one of HTTP/1.0 can't tell a cut from the end of
    /// a body of unknown length.
    pub(super) version: Version,
    pub(super) counters: &'a Counters,
    /// Told when a retry has to wait.
    pub(super) ticker: &'a Notify,
}

/// Where the tries stand.
#[derive(Default)]
struct Progress {
    tries: u32,
    /// Whether a try before the present one may have run.
    may_have_run: bool,
    /// The answer of a try that was tried again, if all else fails.
    fallback: Option<Answer>,
}

/// What follows from one try.
enum Step {
    Done(Result<Answer, Problem>),
    /// Wait for a slot of another target than this slot's.
    Again(Arc<crate::target::Target>),
}

impl Tries<'_> {
    /// Tries until there is a final answer.
    ///
    /// # Errors
    /// The final answer to the caller, if it is not a target's.
    pub(super) async fn run(&self, mut slot: Slot) -> Result<Answer, Problem> {
        let service = Arc::clone(slot.service());
        let mut progress = Progress::default();
        loop {
            let before = match self.step(slot, &mut progress).await {
                Step::Done(result) => return result,
                Step::Again(target) => target,
            };
            let on_wait = || self.ticker.notify_one();
            let retry = service.retry(&before, self.terms.deadline, on_wait);
            slot = match retry.await {
                Some(slot) => slot,
                None => return progress.give_up(),
            };
        }
    }

    async fn step(&self, mut slot: Slot, progress: &mut Progress) -> Step {
        progress.tries += 1;
        self.counters.tries.incr();
        let result = exchange(&mut slot, &self.terms).await;
        match result {
            Ok(Received::Whole(parts, chunks)) => self.whole(slot, parts, chunks, progress),
            Ok(Received::Begun(parts, begun, rest)) => {
                if !self.can_stream(&parts) {
                    let kind = ProblemKind::ResponseTooLarge;
                    return Step::Done(Err(Problem::new(kind)));
                }
                self.counters.streamed.incr();
                let status = parts.status.as_u16();
                let deadline = self.terms.deadline;
                let stream = Stream::new(begun, rest, slot, deadline, status);
                Step::Done(Ok(Answer::Streamed(parts, Box::new(stream))))
            }
            Err(failure) => self.failed(slot, failure, progress),
        }
    }

    fn whole(&self, slot: Slot, parts: Parts, chunks: Chunks, progress: &mut Progress) -> Step {
        let status = parts.status.as_u16();
        let answer = Answer::Whole(parts, chunks);
        let outcome = cleat_decide::AttemptOutcome::Answered { status };
        let target = slot.target().cloned();
        let service = Arc::clone(slot.service());
        let verdict = service.conclude(slot, outcome, self.facts(progress));
        match (verdict, target) {
            (RetryDecision::Retry, Some(target)) => {
                progress.fallback = Some(answer);
                self.again(target, true, progress)
            }
            _ => Step::Done(Ok(answer)),
        }
    }

    fn failed(&self, slot: Slot, failure: Failure, progress: &mut Progress) -> Step {
        let outcome = failure.outcome();
        let target = slot.target().cloned();
        let service = Arc::clone(slot.service());
        let verdict = service.conclude(slot, outcome, self.facts(progress));
        match (verdict, target) {
            (RetryDecision::Retry, Some(target)) => {
                self.again(target, outcome.may_have_run(), progress)
            }
            (
                RetryDecision::Answer(FinalOutcome::NotRun {
                    reason,
                    retry_after,
                }),
                _,
            ) => Step::Done(Err(Problem::retry_after(reason.into(), retry_after))),
            (RetryDecision::Answer(FinalOutcome::Unknown { reason }), _) => {
                let kind = unknown(reason, failure);
                Step::Done(progress.or_fallback(kind))
            }
            _ => Step::Done(progress.give_up()),
        }
    }

    fn again(
        &self,
        target: Arc<crate::target::Target>,
        may_have_run: bool,
        progress: &mut Progress,
    ) -> Step {
        self.counters.retries.incr();
        progress.may_have_run |= may_have_run;
        Step::Again(target)
    }

    fn facts(&self, progress: &Progress) -> AttemptContext {
        AttemptContext {
            idempotent: self.idempotent,
            attempts: progress.tries,
            max_attempts: self.tries_max,
            remaining: self
                .terms
                .deadline
                .saturating_duration_since(Instant::now()),
            earlier_may_have_run: progress.may_have_run,
            // The service knows it and fills it in.
            expected_duration: std::time::Duration::ZERO,
        }
    }

    fn can_stream(&self, parts: &Parts) -> bool {
        self.version >= Version::HTTP_11 || parts.headers.contains_key(CONTENT_LENGTH)
    }
}

impl Progress {
    /// The final answer when no further try can be made.
    fn give_up(&mut self) -> Result<Answer, Problem> {
        if self.may_have_run {
            self.or_fallback(ProblemKind::EarlierAttempt)
        } else {
            Err(Problem::new(ProblemKind::TargetsUnreachable))
        }
    }

    /// A target's own answer is better than none.
    fn or_fallback(&mut self, kind: ProblemKind) -> Result<Answer, Problem> {
        self.fallback.take().ok_or(Problem::new(kind))
    }
}

fn unknown(reason: UnknownReason, failure: Failure) -> ProblemKind {
    match (reason, failure) {
        (UnknownReason::EarlierAttempt, _) => ProblemKind::EarlierAttempt,
        (UnknownReason::TimedOut, _) => ProblemKind::TargetTimedOut,
        (UnknownReason::ConnectionLost, _) => ProblemKind::TargetConnectionLost,
        (UnknownReason::Malformed, Failure::Unframed) => ProblemKind::ResponseUnframed,
        (UnknownReason::Malformed, Failure::Surplus) => ProblemKind::ResponseSurplus,
        (UnknownReason::Malformed, _) => ProblemKind::ResponseMalformed,
    }
}
