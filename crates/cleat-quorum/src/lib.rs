//! The replicated log: a pure consensus core and its thin driver.

mod core;

pub use core::*;
