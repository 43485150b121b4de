//! What can go wrong between a caller and its replica.

use std::io;

use snafu::Snafu;

use super::state_machine::RestoreError;
use crate::core::{MemberId, Rejection};
use crate::store::DecodeError;

/// Why a command or a read was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// This member does not lead; nothing was appended. Ask the leader.
    #[snafu(display("this member does not lead the group"))]
    NotLeader {
        /// The leader as far as it is known.
        leader: Option<MemberId>,
    },
    /// The leader reaches no majority; nothing was appended. Try again later.
    #[snafu(display("the leader reaches no majority of the voters"))]
    NoQuorum,
    /// The member lost its lead after the append. The command may still be
    /// applied; ask again with the same command id.
    #[snafu(display("the outcome of the command is unknown"))]
    OutcomeUnknown,
    /// The command is larger than the limit; nothing was appended.
    #[snafu(display("the command has {size} bytes, more than the limit of {limit}"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The replica stopped; nothing was appended. Ask another member.
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

/// Why an entry is not known to be in force. Asking again is safe.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum InForceError {
    /// This member does not lead. Ask the leader.
    #[snafu(display("this member does not lead the group"))]
    NotLeader {
        /// The leader as far as it is known.
        leader: Option<MemberId>,
    },
    /// Some members with a live lease have not applied the entry in time.
    #[snafu(display("{} members have not applied the entry in time", members_behind.len()))]
    Timeout {
        /// Those members. Empty if the leader was not certain of its lead.
        members_behind: Vec<MemberId>,
    },
    /// The replica stopped. Ask another member.
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

/// Why an entry was not seen applied on this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum WaitError {
    /// The entry was not applied in time. Wait again.
    #[snafu(display("the entry was not applied in time"))]
    Timeout,
    /// The replica stopped. Ask another member.
    #[snafu(display("the replica stopped"))]
    Stopped,
}

/// Why a replica could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SpawnError {
    /// The journal's content is of another version; see [`DecodeError`].
    #[snafu(context(false), display("{source}"))]
    Decode {
        /// What was found.
        source: DecodeError,
    },
    /// The state machine refused its snapshot; see [`RestoreError`].
    #[snafu(context(false), display("{source}"))]
    Restore {
        /// What was found.
        source: RestoreError,
    },
    /// The thread for the disk could not be started. Raise the limit of
    /// threads, then start again.
    #[snafu(display("the disk thread can't be started: {source}"))]
    Thread {
        /// The system's answer.
        source: io::Error,
    },
}
