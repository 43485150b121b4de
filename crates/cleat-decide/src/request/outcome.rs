//! How a try ended, and what the caller is told.

use std::time::Duration;

use super::RefusalReason;

/// What provably happened to one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer of the target.
    Answered {
        /// Its HTTP status.
        status: u16,
    },
    /// No byte of the request left, as when the connection was refused.
    NotSent,
    /// The connection broke after a byte may have left.
    ConnectionLost,
    /// No whole answer in time, after a byte may have left.
    TimedOut,
    /// The answer broke the protocol.
    Malformed,
}

/// The lowest status by which a target says that it failed.
const STATUS_FAILED: u16 = 500;

impl AttemptOutcome {
    /// Whether the target may have run the request. An answer counts: the
    /// target got the request, whatever it says of it.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, AttemptOutcome::NotSent)
    }

    /// Whether the try speaks for the health of the target.
    pub fn is_success(&self) -> bool {
        matches!(self, AttemptOutcome::Answered { status } if *status < STATUS_FAILED)
    }
}

/// What a verdict needs to know of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptContext {
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Tries so far, the one just ended included; at least 1.
    pub attempts: u32,
    /// The most tries, the first included.
    pub max_attempts: u32,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Whether an *earlier* try may have run (see
    /// [`AttemptOutcome::may_have_run`]). With it, the request is never
    /// reported as not run.
    pub earlier_may_have_run: bool,
    /// How long a try usually takes; no try is begun with less time left. Zero
    /// if unknown (see [`AdmissionController::service_time_p10`](super::AdmissionController::service_time_p10)).
    pub expected_duration: Duration,
}

/// What to do after a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again now, preferably on another target.
    Retry,
    /// Answer the caller now.
    Answer(FinalOutcome),
}

/// What the caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The target's own whole answer.
    Answered,
    /// The request really did not run.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why nothing better is known.
        reason: UnknownReason,
    },
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection to the target broke.
    ConnectionLost,
    /// No whole answer came in time.
    TimedOut,
    /// The target's answer broke the protocol.
    Malformed,
    /// An earlier try may have run and the last one was not sent.
    EarlierAttempt,
}
