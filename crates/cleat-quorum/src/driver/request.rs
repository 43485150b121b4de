//! Requests to a replica's task.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::error::{InForceError, ProposeError};
use super::replica::Applied;
use crate::core::MemberId;

pub(crate) type Reply<T, E> = oneshot::Sender<Result<T, E>>;

pub(crate) enum Request {
    Propose(Proposal),
    Read(Reply<u64, ProposeError>),
    InForce(InForceWait),
    RemoveMember {
        id: MemberId,
        reply: Reply<(), ProposeError>,
    },
}

pub(crate) struct Proposal {
    pub(crate) command: Arc<[u8]>,
    pub(crate) reply: Reply<Applied, ProposeError>,
}

pub(crate) struct InForceWait {
    pub(crate) index: u64,
    pub(crate) deadline: Instant,
    pub(crate) reply: Reply<(), InForceError>,
}
