//! The connections of clients, and one bound on what all of them make a process hold.
//!
//! Inbound take what they like: many connections, heads and bodies that do not end, answers
//! that nobody reads. All of it counts in one sum for the process. When that is full, the
//! connection goes that has gone without a whole request for longest; see
//! `docs/design/inbound.md`.

mod connection;
mod counts;
mod io;
mod limits;
mod table;
#[cfg(test)]
mod tests;

pub use connection::{Held, Inbound, InboundConnection, MemoryFull, RequestGuard};
pub use counts::{Closure, InboundCounts};
pub use io::InboundIo;
pub use limits::InboundLimits;
