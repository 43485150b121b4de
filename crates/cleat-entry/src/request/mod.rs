//! Validates, reads and forwards requests of callers.

mod body;
mod digest;
mod fields;
mod keyed_head;
mod outgoing;
mod path;
mod validated;

pub(crate) use body::read_body;
pub(crate) use digest::digest;
pub(crate) use keyed_head::KeyedHead;
pub(crate) use outgoing::OutgoingRequest;
pub(crate) use validated::ValidatedRequest;
