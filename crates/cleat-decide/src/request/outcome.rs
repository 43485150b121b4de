//! The outcome of an attempt, and the final outcome reported to the caller.

use std::time::Duration;

use super::RefusalReason;

/// What provably happened to one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target sent a complete response.
    Answered {
        /// Its HTTP status.
        status: u16,
    },
    /// No byte of the request was sent, as when the connection was refused.
    NotSent,
    /// The connection was lost after a byte may have been sent.
    ConnectionLost,
    /// No complete response came in time, after a byte may have been sent.
    TimedOut,
    /// The response violated the protocol.
    Malformed,
}

/// The lowest status that counts as a failure of the target.
const STATUS_FAILED: u16 = 500;

impl AttemptOutcome {
    /// Whether the target may have run the request. A response counts whatever
    /// its status: it shows that the target received the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, AttemptOutcome::NotSent)
    }

    /// Whether the attempt counts as a success in the target's health.
    pub fn is_success(&self) -> bool {
        matches!(self, AttemptOutcome::Answered { status } if *status < STATUS_FAILED)
    }
}

/// What the decision to retry needs to know about a request after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptContext {
    /// Whether running the request twice is harmless.
    pub idempotent: bool,
    /// The attempts so far, including the one that just ended; at least 1.
    pub attempts: u32,
    /// The maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Whether an *earlier* attempt may have run (see
    /// [`AttemptOutcome::may_have_run`]). If so, the request is never reported
    /// as not run.
    pub earlier_may_have_run: bool,
    /// The shortest time that an attempt is likely to take; none is started with
    /// less time left. Zero if unknown (see
    /// [`AdmissionController::service_time_p10`](super::AdmissionController::service_time_p10)).
    pub expected_duration: Duration,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry now, preferably on another target.
    Retry,
    /// Answer the caller now.
    Answer(FinalOutcome),
}

/// The outcome that is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The target's complete response is passed on.
    Answered,
    /// The request certainly did not run.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why it is unknown.
        reason: UnknownReason,
    },
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection to the target was lost.
    ConnectionLost,
    /// No complete response came in time.
    TimedOut,
    /// The target's response violated the protocol.
    Malformed,
    /// An earlier attempt may have run and the last one was not sent.
    EarlierAttempt,
}
