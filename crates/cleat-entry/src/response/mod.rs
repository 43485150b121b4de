//! Receives responses of targets and sends them to callers.

mod body;
mod chunks;
mod memory;
mod receive;
mod stream;

pub(crate) use body::ResponseBody;
pub(crate) use chunks::Chunks;
pub(crate) use memory::MemoryBudget;
pub(crate) use receive::{Received, receive};
pub(crate) use stream::StreamedBody;
