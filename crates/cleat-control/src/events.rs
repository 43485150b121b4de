//! Events that control instances and gateways log in addition to the scheduler's
//! decisions.

use std::time::Duration;

use cleat_link::{AskError, ControlCall, ControlReply};
use serde::Serialize;

use crate::metrics::call_kind;
use crate::owner::OwnerLoad;

/// An event of the structured log. Fields that also occur in the scheduler's
/// decisions have the same names there.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum ControlEvent {
    /// A call was not carried out, or its outcome is unknown.
    CallFailed(CallOutcome),
    /// The leader rejected a call because of the replicated state.
    CallRefused(CallOutcome),
    /// The leader rejected a call after an attempt that may have had an effect, so its
    /// outcome is unknown.
    CallUnsettled(CallOutcome),
    /// Calls were refused because of their API keys; logged at most once a second
    /// for each reason.
    KeysRefused(KeysRefused),
    /// A write to disk failed: this instance no longer takes part in the
    /// consensus group.
    DiskFailed,
    /// The disk is writable again, and the replica was reopened.
    DiskWell { lasted_ms: u128 },
    /// A configuration took effect.
    Configured {
        version: u64,
        queues: usize,
        pools: usize,
        /// `None` if calls need no API key.
        customers: Option<usize>,
    },
    /// This instance became the owner of the workers.
    Owns {
        token: u64,
        ordinal: u32,
        workers: usize,
        jobs: usize,
    },
    /// A command of the owner failed to commit; logged for the first failure
    /// after a success.
    CommitsFail { reason: Box<str> },
    /// Commands of the owner commit again, or this instance is no longer the
    /// owner.
    CommitsFailEnd { failed: u64, lasted_ms: u128 },
    /// A call of a worker or an operator found no leader; logged for the first such
    /// call after one that was answered.
    NoLeader,
    /// A call was answered again. `calls` found no leader before.
    LeaderReached { calls: u64, lasted_ms: u128 },
    /// The load of this instance as the owner, about once a second.
    OwnerLoad(OwnerLoad),
    /// This instance is no longer the owner of the workers.
    OwnsNoMore { token: u64, reason: OwnershipEnd },
}

/// Calls that were refused for the same reason since the last event.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct KeysRefused {
    pub(crate) reason: KeyRefusal,
    /// The number of refused calls.
    pub(crate) count: u64,
    /// The fingerprint of the latest call's key; `None` if the call had no key.
    pub(crate) key: Option<Box<str>>,
    /// The path of the latest call without the job ID.
    pub(crate) path: Box<str>,
}

/// Why a call was refused because of its API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum KeyRefusal {
    /// No customer has the key, or the call had no key.
    Unknown,
    /// The rate limit for keys that were not seen before was exceeded, so the
    /// leader was not asked about this one.
    TooMany,
}

/// Why an instance is no longer the owner of the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OwnershipEnd {
    /// It lost the leadership of the group.
    LeadLost,
    /// A worker or the platform rejected its fencing token in favour of a later
    /// owner's.
    Fenced,
}

/// A call that did not succeed, and the reason.
#[derive(Debug, Serialize)]
pub(crate) struct CallOutcome {
    #[serde(flatten)]
    call: CallLabel,
    reason: Box<str>,
    took_ms: u128,
}

/// The part of a call that is logged with its outcome.
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
            ControlCall::Heartbeat(heartbeat) => Some(heartbeat.record.name.clone()),
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

    /// The path of the call.
    pub(crate) fn path(&self) -> Option<&str> {
        self.path.as_deref()
    }

    /// The event to log if a call was refused with this reply after an attempt that may have
    /// had an effect.
    pub(crate) fn unsettled_event(self, reply: &ControlReply, took: Duration) -> ControlEvent {
        ControlEvent::CallUnsettled(CallOutcome {
            call: self,
            reason: format!("{reply:?}").into(),
            took_ms: took.as_millis(),
        })
    }

    /// The event to log for this outcome; `None` for a success, and for refused
    /// API keys, which are logged in aggregate.
    pub(crate) fn failure_event(
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
            // Logged as an aggregated `KeysRefused` event at most once a second.
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
