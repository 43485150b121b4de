//! Error answers in the format `application/problem+json` (RFC 9457).

use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use serde::Serialize;

use crate::ControlError;
use cleat_http::{Answer, json_with_media_type};

const MEDIA_TYPE: &str = "application/problem+json";
const TYPE_PREFIX: &str = "urn:celerycleat:problem:";
/// The `Retry-After` header of an answer without a quorum: an election takes about
/// this long.
const RETRY_AFTER_S: u64 = 2;

/// The kinds of problem. Each has a stable name, which ends the `type` URN.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProblemKind {
    /// There is nothing at this path.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The request or its body is not valid.
    BadRequest,
    /// The request body is too large.
    BodyTooLarge,
    /// The announcement of a target is not valid.
    BadAnnouncement,
    /// The announcement names a service that is not configured.
    UnknownService,
    /// Another target has the announced address.
    AddressTaken,
    /// The change was not made: for example, no quorum could be reached, or
    /// there is no configuration yet.
    NoQuorum,
    /// It is unknown whether the change took effect.
    OutcomeUnknown,
    /// The change is too large.
    CommandTooLarge,
    /// The instance of the announced target moves to another pool or reboots.
    InstanceAway,
    /// No pool has an instance of this name.
    UnknownInstance,
    /// There is no pool of this name.
    UnknownPool,
    /// The command id was first used with another kind of command.
    CommandIdTaken,
    /// The availability budget of the pool does not allow another instance to be
    /// away.
    OverBudget,
    /// The instance is moving to another pool, or moved meanwhile.
    MoveInProgress,
    /// A maintenance wave is working on the instance.
    InMaintenance,
    /// The configuration names no platform that can drain or reboot instances.
    NoPlatform,
    /// The previous maintenance wave of the pool has not ended.
    WaveInProgress,
    /// No maintenance wave of the pool is in progress.
    NoWave,
    /// There is no queue of this name.
    UnknownQueue,
    /// There is no job with this id.
    UnknownJob,
    /// The job has ended and can no longer be cancelled.
    JobOver,
    /// The job was not stored, since it could not be completed in time.
    Overloaded,
}

impl ProblemKind {
    fn name(self) -> &'static str {
        match self {
            ProblemKind::NotFound => "not-found",
            ProblemKind::MethodNotAllowed => "method-not-allowed",
            ProblemKind::BadRequest => "bad-request",
            ProblemKind::BodyTooLarge => "body-too-large",
            ProblemKind::BadAnnouncement => "bad-announcement",
            ProblemKind::UnknownService => "unknown-service",
            ProblemKind::AddressTaken => "address-taken",
            ProblemKind::NoQuorum => "no-quorum",
            ProblemKind::OutcomeUnknown => "outcome-unknown",
            ProblemKind::CommandTooLarge => "command-too-large",
            ProblemKind::InstanceAway => "instance-away",
            ProblemKind::UnknownInstance => "unknown-instance",
            ProblemKind::UnknownPool => "unknown-pool",
            ProblemKind::CommandIdTaken => "command-id-taken",
            ProblemKind::OverBudget => "over-budget",
            ProblemKind::MoveInProgress => "move-in-progress",
            ProblemKind::InMaintenance => "in-maintenance",
            ProblemKind::NoPlatform => "no-platform",
            ProblemKind::WaveInProgress => "wave-in-progress",
            ProblemKind::NoWave => "no-wave",
            ProblemKind::UnknownQueue => "unknown-queue",
            ProblemKind::UnknownJob => "unknown-job",
            ProblemKind::JobOver => "job-over",
            ProblemKind::Overloaded => "overloaded",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            ProblemKind::NotFound
            | ProblemKind::UnknownService
            | ProblemKind::UnknownInstance
            | ProblemKind::UnknownPool
            | ProblemKind::UnknownQueue
            | ProblemKind::UnknownJob => StatusCode::NOT_FOUND,
            ProblemKind::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ProblemKind::BadRequest => StatusCode::BAD_REQUEST,
            ProblemKind::BodyTooLarge | ProblemKind::CommandTooLarge => {
                StatusCode::PAYLOAD_TOO_LARGE
            }
            ProblemKind::BadAnnouncement => StatusCode::UNPROCESSABLE_ENTITY,
            ProblemKind::AddressTaken
            | ProblemKind::InstanceAway
            | ProblemKind::CommandIdTaken
            | ProblemKind::OverBudget
            | ProblemKind::MoveInProgress
            | ProblemKind::InMaintenance
            | ProblemKind::NoPlatform
            | ProblemKind::WaveInProgress
            | ProblemKind::NoWave
            | ProblemKind::JobOver => StatusCode::CONFLICT,
            ProblemKind::NoQuorum | ProblemKind::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            ProblemKind::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn title(self) -> &'static str {
        match self {
            ProblemKind::NotFound => "There is nothing at this path",
            ProblemKind::MethodNotAllowed => "This path does not take this method",
            ProblemKind::BadRequest => "The request is not valid",
            ProblemKind::BodyTooLarge => "The request body is too large",
            ProblemKind::BadAnnouncement => "The announcement is not valid",
            ProblemKind::UnknownService => "The service is not configured",
            ProblemKind::AddressTaken => "Another target has this address",
            ProblemKind::NoQuorum => "No quorum can be reached; nothing was changed",
            ProblemKind::OutcomeUnknown => "The outcome is unknown",
            ProblemKind::CommandTooLarge => "The change is too large",
            ProblemKind::InstanceAway => "The instance takes no targets now",
            ProblemKind::UnknownInstance => "There is no such instance",
            ProblemKind::UnknownPool => "There is no such pool",
            ProblemKind::CommandIdTaken => "The command id belongs to another kind of command",
            ProblemKind::OverBudget => "The availability budget of the pool has no room",
            ProblemKind::MoveInProgress => "The instance is on its way to another pool",
            ProblemKind::InMaintenance => "A maintenance wave has the instance",
            ProblemKind::NoPlatform => "The configuration names no platform",
            ProblemKind::WaveInProgress => "A maintenance wave of the pool is under way",
            ProblemKind::UnknownQueue => "There is no such queue",
            ProblemKind::UnknownJob => "There is no such job",
            ProblemKind::JobOver => "The job is over",
            ProblemKind::Overloaded => "The job could not be completed in time",
            ProblemKind::NoWave => "No maintenance wave of the pool is under way",
        }
    }
}

/// A problem with the details of one occurrence.
#[derive(Debug)]
pub(crate) struct Problem {
    pub(crate) kind: ProblemKind,
    pub(crate) detail: Box<str>,
    /// The number of seconds after which the request may be repeated, if known.
    retry_after_s: Option<u64>,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
}

impl Problem {
    pub(crate) fn new(kind: ProblemKind, detail: impl Into<Box<str>>) -> Problem {
        let detail = detail.into();
        Problem {
            kind,
            detail,
            retry_after_s: (kind == ProblemKind::NoQuorum).then_some(RETRY_AFTER_S),
        }
    }

    /// The same problem with the number of seconds after which the request may be
    /// repeated.
    pub(crate) fn with_retry_after(self, seconds: u64) -> Problem {
        Problem {
            retry_after_s: Some(seconds),
            ..self
        }
    }

    pub(crate) fn into_answer(self) -> Answer {
        let status = self.kind.status();
        let body = ProblemBody {
            r#type: format!("{TYPE_PREFIX}{}", self.kind.name()),
            title: self.kind.title(),
            status: status.as_u16(),
            detail: &self.detail,
        };
        let mut answer = json_with_media_type(status, MEDIA_TYPE, &body);
        if let Some(seconds) = self.retry_after_s {
            let value = HeaderValue::from(seconds);
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
        answer
    }
}

/// Converts an error of the control plane to a problem.
pub(crate) fn from_control(error: &ControlError) -> Problem {
    let kind = match error {
        ControlError::NoQuorum => ProblemKind::NoQuorum,
        ControlError::OutcomeUnknown => ProblemKind::OutcomeUnknown,
        ControlError::TooLarge => ProblemKind::CommandTooLarge,
    };
    Problem::new(kind, error.to_string())
}
