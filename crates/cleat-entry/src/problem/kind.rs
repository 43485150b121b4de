//! The kinds of problem responses.

use cleat_decide::RefusalReason;
use http::StatusCode;

use crate::headers::Outcome;

/// Why a caller gets a problem response instead of the response of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProblemKind {
    /// No service with this name is configured.
    UnknownService,
    /// The request target is not a path that could name a service.
    UnsupportedTarget,
    /// The head is not valid HTTP/1.1, for example because of conflicting
    /// lengths.
    MalformedRequest,
    /// The request target is too long.
    UriTooLong,
    /// `Celerycleat-Deadline-Ms` is not a positive number of milliseconds.
    BadDeadline,
    /// `Celerycleat-Caller` is too long or not printable ASCII.
    BadCaller,
    /// `Celerycleat-Idempotent` is neither `true` nor `false`.
    BadIdempotent,
    /// `Idempotency-Key` is empty, too long or not printable ASCII.
    BadIdempotencyKey,
    /// The body is truncated or its framing is malformed.
    BadBody,
    /// The header block is too large.
    HeadersTooLarge,
    /// The body is larger than the service allows.
    BodyTooLarge,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// This instance is not in service; another one may be.
    NotInService,
    /// The memory for request bodies is exhausted.
    MemoryFull,
    /// The replicated table of idempotency keys is full, or the requests of this
    /// entry hold too many keys.
    KeysFull,
    /// The idempotency key could not be claimed.
    KeyNotClaimed,
    /// The caller exceeds its quota.
    OverQuota,
    /// The queue of the service is full.
    QueueFull,
    /// The request was removed from the queue in favour of a caller below its
    /// fair share.
    Displaced,
    /// The request could not finish before its deadline.
    CannotFinishInTime,
    /// The service has no target.
    NoTarget,
    /// No target could be reached.
    TargetsUnreachable,
    /// The connection to the target was lost.
    TargetConnectionLost,
    /// The target did not respond in time.
    TargetTimedOut,
    /// The response of the target is not valid HTTP/1.1.
    ResponseMalformed,
    /// The end of the response is only marked by the end of the connection.
    ResponseUnframed,
    /// More bytes were received than the framing of the response states.
    ResponseSurplus,
    /// The response is too large to buffer, and it can't be streamed because
    /// the caller uses HTTP/1.0, which can't distinguish its end from a lost
    /// connection.
    ResponseTooLarge,
    /// An earlier attempt may have run, and a later one was not sent.
    EarlierAttempt,
    /// A request with the same idempotency key is in progress.
    KeyInProgress,
    /// The request was rejected before its idempotency key could be claimed,
    /// and it could not be determined whether an earlier request with the key
    /// ran.
    KeyNotLookedUp,
    /// A request with the same idempotency key may have run.
    KeyOutcomeUnknown,
    /// A request with the same idempotency key ran; its response was too large
    /// to store.
    KeyAnswerNotKept,
}

use ProblemKind as K;

impl ProblemKind {
    /// The HTTP status code.
    pub fn status(self) -> StatusCode {
        match self {
            K::UnknownService => StatusCode::NOT_FOUND,
            K::UnsupportedTarget
            | K::MalformedRequest
            | K::BadDeadline
            | K::BadCaller
            | K::BadIdempotent
            | K::BadIdempotencyKey
            | K::BadBody => StatusCode::BAD_REQUEST,
            K::UriTooLong => StatusCode::URI_TOO_LONG,
            K::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            K::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            K::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            K::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            K::NotInService
            | K::MemoryFull
            | K::KeysFull
            | K::KeyNotClaimed
            | K::QueueFull
            | K::Displaced
            | K::CannotFinishInTime
            | K::NoTarget
            | K::TargetsUnreachable => StatusCode::SERVICE_UNAVAILABLE,
            K::TargetTimedOut | K::KeyInProgress | K::KeyNotLookedUp => StatusCode::GATEWAY_TIMEOUT,
            K::TargetConnectionLost
            | K::ResponseMalformed
            | K::ResponseUnframed
            | K::ResponseSurplus
            | K::ResponseTooLarge
            | K::EarlierAttempt
            | K::KeyOutcomeUnknown
            | K::KeyAnswerNotKept => StatusCode::BAD_GATEWAY,
        }
    }

    /// What the response says about the execution of the request.
    pub(crate) fn outcome(self) -> Outcome {
        match self.status() {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Whether the response has a `Retry-After` header: a retry, with the same
    /// idempotency key if there is one, may have a different result.
    pub(crate) fn has_retry_after(self) -> bool {
        let waits_for_key = matches!(self, K::KeyInProgress | K::KeyNotLookedUp);
        waits_for_key || self.outcome() == Outcome::NotRun
    }

    /// The last component of the stable problem `type`.
    pub fn slug(self) -> &'static str {
        match self {
            K::UnknownService => "unknown-service",
            K::UnsupportedTarget => "unsupported-target",
            K::MalformedRequest => "malformed-request",
            K::UriTooLong => "uri-too-long",
            K::BadDeadline => "bad-deadline",
            K::BadCaller => "bad-caller",
            K::BadIdempotent => "bad-idempotent",
            K::BadIdempotencyKey => "bad-idempotency-key",
            K::BadBody => "bad-body",
            K::HeadersTooLarge => "headers-too-large",
            K::BodyTooLarge => "body-too-large",
            K::KeyReused => "idempotency-key-reused",
            K::NotInService => "not-in-service",
            K::MemoryFull => "memory-full",
            K::KeysFull => "idempotency-keys-full",
            K::KeyNotClaimed => "idempotency-key-not-claimed",
            K::OverQuota => "over-quota",
            K::QueueFull => "queue-full",
            K::Displaced => "displaced",
            K::CannotFinishInTime => "cannot-finish-in-time",
            K::NoTarget => "no-target",
            K::TargetsUnreachable => "targets-unreachable",
            K::TargetConnectionLost => "target-cut",
            K::TargetTimedOut => "target-late",
            K::ResponseMalformed => "answer-malformed",
            K::ResponseUnframed => "answer-unframed",
            K::ResponseSurplus => "answer-surplus",
            K::ResponseTooLarge => "answer-too-large",
            K::EarlierAttempt => "earlier-try",
            K::KeyInProgress => "idempotency-key-in-progress",
            K::KeyNotLookedUp => "idempotency-key-not-looked-up",
            K::KeyOutcomeUnknown => "idempotency-key-outcome-unknown",
            K::KeyAnswerNotKept => "idempotency-key-answer-not-kept",
        }
    }

    /// The title, one sentence for people.
    pub fn title(self) -> &'static str {
        match self {
            K::UnknownService => "No service of this name is configured.",
            K::UnsupportedTarget => "The request target must be a path that begins with a service.",
            K::MalformedRequest => "The request's head is not valid HTTP/1.1.",
            K::UriTooLong => "The request target is too long.",
            K::BadDeadline => "Celerycleat-Deadline-Ms must be one positive whole number.",
            K::BadCaller => "Celerycleat-Caller must be one value of at most 256 printable bytes.",
            K::BadIdempotent => "Celerycleat-Idempotent must be true or false.",
            K::BadIdempotencyKey => {
                "Idempotency-Key must be one value of 1 to 256 printable bytes."
            }
            K::BadBody => "The request body could not be read.",
            K::HeadersTooLarge => "The request's header block is too large.",
            K::BodyTooLarge => "The request's body is larger than the service takes.",
            K::KeyReused => "The Idempotency-Key was used with another request.",
            K::NotInService => "This instance is not in service; ask another.",
            K::MemoryFull => "Too many request bodies are in progress.",
            K::KeysFull => "No more idempotency keys can be taken.",
            K::KeyNotClaimed => "The Idempotency-Key could not be claimed; nothing was sent.",
            K::OverQuota => "The caller is over its quota.",
            K::QueueFull => "Too many requests wait for this service.",
            K::Displaced => "The request gave way to a caller that is under its share.",
            K::CannotFinishInTime => "The request could not finish in the time left.",
            K::NoTarget => "The service has no target that takes requests.",
            K::TargetsUnreachable => "No target could be reached.",
            K::TargetConnectionLost => "The target's connection broke before its answer was whole.",
            K::TargetTimedOut => "The target's answer did not come in time.",
            K::ResponseMalformed => "The target's answer is not valid HTTP/1.1.",
            K::ResponseUnframed => {
                "The target's answer has no length, so it cannot be proved to be whole."
            }
            K::ResponseSurplus => "The target sent more than its answer's length states.",
            K::ResponseTooLarge => "The answer is too large to pass on by HTTP/1.0.",
            K::EarlierAttempt => "An earlier try may have run; no later one could be sent.",
            K::KeyInProgress => "A request with this Idempotency-Key is still in progress.",
            K::KeyNotLookedUp => {
                "Whether a request with this Idempotency-Key ran could not be found out now; \
                 send it again with the same key."
            }
            K::KeyOutcomeUnknown => "A request with this Idempotency-Key may have run.",
            K::KeyAnswerNotKept => {
                "A request with this Idempotency-Key ran; its answer was too large to keep."
            }
        }
    }
}

impl From<RefusalReason> for ProblemKind {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::OverQuota => K::OverQuota,
            RefusalReason::QueueFull => K::QueueFull,
            RefusalReason::Displaced => K::Displaced,
            RefusalReason::CannotFinishInTime => K::CannotFinishInTime,
            RefusalReason::NoTarget => K::NoTarget,
            // This reason is given only if no attempt reached a target.
            RefusalReason::AttemptsExhausted => K::TargetsUnreachable,
        }
    }
}
