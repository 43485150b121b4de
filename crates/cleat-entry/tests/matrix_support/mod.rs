//! The test bed of the fault matrix.
#![allow(clippy::unwrap_used, unreachable_pub)]

mod caller;
mod scenario;
mod target;
mod test_bed;

pub use caller::{BODY, SendResult, exchange};
pub use scenario::{Cell, Fault, Kind, PausingControl, Scenario, Step};
pub use target::{Mode, Target, own_answer};
pub use test_bed::{CheckResult, TestBed, ensure, wait_until};
