//! What control instances and gateways log beside the scheduler's decisions.

use std::time::Duration;

use cleat_link::{AskError, ControlCall, ControlReply};
use serde::Serialize;

use crate::metrics::call_kind;

/// One decision or change of belief. Field names are those of the scheduler's
/// decisions where they mean the same.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ControlEvent {
    /// A call was not done, or it is not known.
    CallFailed(CallOutcome),
    /// A call was refused by what the fleet knows.
    CallRefused(CallOutcome),
    /// Calls were refused for their keys, once a second at most.
    KeysRefused(KeysRefused),
    /// The disk refused a write: this instance takes no part in the group.
    DiskFailed,
    /// The disk takes writes again, and this instance its part.
    DiskWell { lasted_ms: u128 },
    /// A configuration is in force.
    Configured {
        version: u64,
        queues: usize,
        pools: usize,
        /// None where calls need no key.
        customers: Option<usize>,
    },
    /// This instance gives orders to the workers from now on.
    Owns {
        token: u64,
        ordinal: u32,
        workers: usize,
        jobs: usize,
    },
    /// A command of the owner was not committed, the first after one that was.
    CommitsFail { reason: Box<str> },
    /// Commands of the owner are committed again, or it is the owner no more.
    CommitsFailEnd { failed: u64, lasted_ms: u128 },
    /// This instance gives no more orders.
    OwnsNoMore { token: u64, reason: OwnershipEnd },
}

/// Calls that were refused since the line before.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct KeysRefused {
    pub(crate) reason: KeyRefusal,
    /// How many.
    pub(crate) count: u64,
    /// The fingerprint of the latest one's key; none if it showed none.
    pub(crate) key: Option<Box<str>>,
    /// The latest one's path without the job's name.
    pub(crate) path: Box<str>,
}

/// Why a call was refused for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum KeyRefusal {
    /// No customer has the key, or the call showed none.
    Unknown,
    /// Too many new keys came to ask about this one.
    TooMany,
}

/// Why an owner stopped giving orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OwnershipEnd {
    /// The lead was lost.
    LeadLost,
    /// A worker or the platform knows a later owner.
    Fenced,
}

/// A call that was no success, and why.
#[derive(Debug, Serialize)]
pub(crate) struct CallOutcome {
    #[serde(flatten)]
    call: CallLabel,
    reason: Box<str>,
    took_ms: u128,
}

/// What of a call is logged with its outcome.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CallLabel {
    call: &'static str,
    job: Option<Box<str>>,
    path: Option<Box<str>>,
    worker: Option<Box<str>>,
}

impl CallLabel {
    pub(crate) fn of(call: &ControlCall) -> CallLabel {
        let path = match call {
            ControlCall::Submit { path, .. }
            | ControlCall::Look { path, .. }
            | ControlCall::Cancel { path, .. } => Some(path.clone()),
            _ => None,
        };
        let job = match call {
            ControlCall::SubmitTo { id, .. }
            | ControlCall::LookAt { id }
            | ControlCall::CancelJob { id } => Some(id.to_string().into()),
            _ => {
                let last = path.as_deref().and_then(|path| path.rsplit('/').next());
                last.filter(|job| !job.is_empty()).map(Into::into)
            }
        };
        let worker = match call {
            ControlCall::Heartbeat(beat) => Some(beat.record.name.clone()),
            ControlCall::Left { worker } => Some(worker.clone()),
            _ => None,
        };
        CallLabel {
            call: call_kind(call),
            job,
            path,
            worker,
        }
    }

    /// The path that the call named.
    pub(crate) fn path(&self) -> Option<&str> {
        self.path.as_deref()
    }

    /// The line about an outcome that is no success, if there is one to write.
    pub(crate) fn outcome(
        self,
        answer: &Result<ControlReply, AskError>,
        took: Duration,
    ) -> Option<ControlEvent> {
        let took_ms = took.as_millis();
        let outcome = |reason| CallOutcome {
            call: self,
            reason,
            took_ms,
        };
        match answer {
            // Gathered into one line a second.
            Err(AskError::TooManyKeys) => None,
            Err(error) => Some(ControlEvent::CallFailed(outcome(error.to_string().into()))),
            Ok(
                reply @ (ControlReply::NoSuchQueue
                | ControlReply::NoSuchJob
                | ControlReply::NotAJob
                | ControlReply::NoConfiguration
                | ControlReply::Taken
                | ControlReply::Over),
            ) => {
                let reason = format!("{reply:?}").into();
                Some(ControlEvent::CallRefused(outcome(reason)))
            }
            Ok(_) => None,
        }
    }
}
