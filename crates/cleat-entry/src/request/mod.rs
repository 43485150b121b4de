//! A caller's request, checked and read whole.

mod body;
mod digest;
mod fields;
mod intake;
mod keyed_head;
mod outgoing;
mod path;

pub(crate) use body::read_body;
pub(crate) use digest::digest;
pub(crate) use intake::Intake;
pub(crate) use keyed_head::KeyedHead;
pub(crate) use outgoing::Outgoing;
