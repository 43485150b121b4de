//! Whether a request is tried again.

use std::time::Duration;

use super::{
    AttemptOutcome, FinalOutcome, RefusalReason, RequestFacts, RetryBudget, UnknownReason, Verdict,
};

/// Less time than this is never enough for another try.
const RETRY_TIME_MIN: Duration = Duration::from_millis(1);

/// What follows from `attempt`. Called once for each try: it also accounts the
/// try in `budget`.
///
/// Invariant: a request that is not idempotent is never retried once a byte of
/// any of its tries may have left. A request that is given up is answered at
/// once, however much time is left.
pub fn verdict(attempt: &AttemptOutcome, req: RequestFacts, budget: &mut RetryBudget) -> Verdict {
    budget.account(attempt, req.tries);
    if may_retry(attempt, &req, budget) && budget.withdraw() {
        return Verdict::Retry;
    }
    Verdict::Answer(answer(attempt, &req, budget))
}

fn may_retry(attempt: &AttemptOutcome, req: &RequestFacts, budget: &RetryBudget) -> bool {
    let touched = attempt.may_have_run() || req.may_have_run;
    let harmless = req.idempotent || !touched || !budget.protections().at_most_once;
    let time_left = req.remaining >= req.expected.max(RETRY_TIME_MIN);
    harmless && wants_retry(attempt) && req.tries < req.max_tries && time_left
}

/// Whether another target may do better. A target's 500 is about the request as
/// likely as about the target, so it is passed on.
fn wants_retry(attempt: &AttemptOutcome) -> bool {
    match attempt {
        AttemptOutcome::Answered { status } => matches!(status, 502..=504),
        _ => true,
    }
}

fn answer(attempt: &AttemptOutcome, req: &RequestFacts, budget: &mut RetryBudget) -> FinalOutcome {
    let reason = match attempt {
        AttemptOutcome::Answered { .. } => return FinalOutcome::Answered,
        AttemptOutcome::NotSent if !req.may_have_run => return not_run(req, budget),
        AttemptOutcome::NotSent => UnknownReason::EarlierTry,
        AttemptOutcome::Cut => UnknownReason::Cut,
        AttemptOutcome::TimedOut => UnknownReason::TimedOut,
        AttemptOutcome::Malformed => UnknownReason::Malformed,
    };
    FinalOutcome::Unknown { reason }
}

fn not_run(req: &RequestFacts, budget: &mut RetryBudget) -> FinalOutcome {
    let late = req.remaining < req.expected.max(RETRY_TIME_MIN);
    let reason = if late {
        RefusalReason::CannotFinishInTime
    } else {
        RefusalReason::TriesUsedUp
    };
    FinalOutcome::NotRun {
        reason,
        retry_after: budget.retry_after(),
    }
}
