//! Replicates a log of commands across the members of a group, using Raft.
//!
//! [`Core`] is the consensus state machine and performs no I/O. [`Replica`]
//! runs a core and provides its clock, its disk and its transport.
//!
//! Every instance of the system is a member. Members with a disk can be voters;
//! all others are learners. A single stream of messages from the leader carries
//! log entries, the commit index, heartbeats and member leases.
//!
//! A member lease permits a member to serve requests from its own copy of the
//! state. An entry is *in force* once every member that may hold a lease has
//! applied it: from then on, no member serves a state that lacks the entry.

mod core;
mod driver;
mod store;

pub use core::*;
pub use driver::*;
pub use store::*;
