//! Whether a request is retried.

use std::time::Duration;

use super::{
    AttemptContext, AttemptOutcome, FinalOutcome, RefusalReason, RetryBudget, RetryDecision,
    UnknownReason,
};

/// With less time left than this, a request is never retried.
const RETRY_TIME_MIN: Duration = Duration::from_millis(1);

/// Decides what follows from `attempt`. Must be called once for each attempt,
/// because it also records the attempt in `budget`.
///
/// Invariant: a request that is not idempotent is never retried once a byte of
/// any of its attempts may have been sent. A request that is not retried is
/// answered at once, however much time is left.
pub fn decide_retry(
    attempt: &AttemptOutcome,
    context: AttemptContext,
    budget: &mut RetryBudget,
) -> RetryDecision {
    budget.deposit(attempt, context.attempts);
    if may_retry(attempt, &context, budget) && budget.withdraw() {
        return RetryDecision::Retry;
    }
    RetryDecision::Answer(answer(attempt, &context, budget))
}

fn may_retry(attempt: &AttemptOutcome, context: &AttemptContext, budget: &RetryBudget) -> bool {
    let may_have_run = attempt.may_have_run() || context.earlier_may_have_run;
    let harmless = context.idempotent || !may_have_run || !budget.protections().at_most_once;
    let time_left = context.remaining >= context.expected_duration.max(RETRY_TIME_MIN);
    harmless && is_retryable(attempt) && context.attempts < context.max_attempts && time_left
}

/// Whether another target may succeed. A status of 500 is as likely caused by
/// the request as by the target, so it is passed on to the caller.
fn is_retryable(attempt: &AttemptOutcome) -> bool {
    match attempt {
        AttemptOutcome::Answered { status } => matches!(status, 502..=504),
        _ => true,
    }
}

fn answer(
    attempt: &AttemptOutcome,
    context: &AttemptContext,
    budget: &mut RetryBudget,
) -> FinalOutcome {
    let reason = match attempt {
        AttemptOutcome::Answered { .. } => return FinalOutcome::Answered,
        AttemptOutcome::NotSent if !context.earlier_may_have_run => {
            return not_run(context, budget);
        }
        AttemptOutcome::NotSent => UnknownReason::EarlierAttempt,
        AttemptOutcome::ConnectionLost => UnknownReason::ConnectionLost,
        AttemptOutcome::TimedOut => UnknownReason::TimedOut,
        AttemptOutcome::Malformed => UnknownReason::Malformed,
    };
    FinalOutcome::Unknown { reason }
}

fn not_run(context: &AttemptContext, budget: &mut RetryBudget) -> FinalOutcome {
    let late = context.remaining < context.expected_duration.max(RETRY_TIME_MIN);
    let reason = if late {
        RefusalReason::CannotFinishInTime
    } else {
        RefusalReason::AttemptsExhausted
    };
    FinalOutcome::NotRun {
        reason,
        retry_after: budget.retry_after(),
    }
}
