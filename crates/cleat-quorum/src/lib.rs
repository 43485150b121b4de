//! The replicated log: a pure consensus core and its thin driver.
//!
//! [`Core`] decides; [`Replica`] gives it a clock, a disk and a transport.
//! Every instance is a member: those with a disk may vote, the others are
//! learners. One stream carries entries, the commit index, heartbeats and the
//! leases that let a member serve.

mod core;
mod driver;
mod store;

pub use core::*;
pub use driver::*;
pub use store::*;
