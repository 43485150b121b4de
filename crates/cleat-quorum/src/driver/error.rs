//! Errors of a replica.

use std::io;

use snafu::Snafu;

use super::state_machine::RestoreError;
use crate::core::{MemberId, Rejection};
use crate::store::DecodeError;

/// Reason why a command or a read was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// This member is not the leader; nothing was appended. Retry on the
    /// leader.
    #[snafu(display("this member is not the leader"))]
    NotLeader {
        /// Leader of the current term, if known.
        leader: Option<MemberId>,
    },
    /// The leader can't reach a majority, or has too many uncommitted entries;
    /// nothing was appended. Retry later.
    #[snafu(display(
        "the leader can't reach a majority of the voters, or has too many uncommitted entries"
    ))]
    NoQuorum,
    /// The member lost leadership after the append. The command may still be
    /// applied. Retry with the same command id.
    #[snafu(display("the outcome of the command is unknown"))]
    OutcomeUnknown,
    /// The command exceeds the size limit; nothing was appended.
    #[snafu(display("the command size of {size} bytes exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Size of the command in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The replica stopped; nothing was appended. Retry on another member.
    #[snafu(display("the replica stopped"))]
    Stopped,
}

impl From<Rejection> for ProposeError {
    fn from(rejection: Rejection) -> ProposeError {
        match rejection {
            Rejection::NotLeader { leader } => ProposeError::NotLeader { leader },
            Rejection::NoQuorum | Rejection::Busy => ProposeError::NoQuorum,
            Rejection::TooLarge { size, limit } => ProposeError::TooLarge { size, limit },
        }
    }
}

/// Reason why an entry is not known to be in force. Retrying is safe.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum InForceError {
    /// This member is not the leader. Retry on the leader.
    #[snafu(display("this member is not the leader"))]
    NotLeader {
        /// Leader of the current term, if known.
        leader: Option<MemberId>,
    },
    /// Some members that may hold a lease did not apply the entry in time.
    #[snafu(display("timed out waiting for {} members to apply the entry", members_behind.len()))]
    Timeout {
        /// Those members. Empty if the leader did not hold the leader lease.
        members_behind: Vec<MemberId>,
    },
    /// The replica stopped. Retry on another member.
    #[snafu(display("the replica stopped"))]
    Stopped,
}

impl From<InForceError> for ProposeError {
    fn from(error: InForceError) -> ProposeError {
        match error {
            InForceError::NotLeader { leader } => ProposeError::NotLeader { leader },
            InForceError::Timeout { .. } => ProposeError::OutcomeUnknown,
            InForceError::Stopped => ProposeError::Stopped,
        }
    }
}

/// Reason why an entry was not observed as applied on this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum WaitError {
    /// The entry was not applied in time. Retry.
    #[snafu(display("timed out waiting for the entry to be applied"))]
    Timeout,
    /// The replica stopped. Retry on another member.
    #[snafu(display("the replica stopped"))]
    Stopped,
}

/// Reason why a replica could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SpawnError {
    /// The journal was written by another version; see [`DecodeError`].
    #[snafu(context(false), display("{source}"))]
    Decode {
        /// Decoding error.
        source: DecodeError,
    },
    /// The state machine can't restore its snapshot; see [`RestoreError`].
    #[snafu(context(false), display("{source}"))]
    Restore {
        /// Restore error.
        source: RestoreError,
    },
    /// The disk thread could not be started. Raise the limit on threads, then
    /// start the instance again.
    #[snafu(display("can't start the disk thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
}
