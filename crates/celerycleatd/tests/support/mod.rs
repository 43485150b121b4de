//! A fleet of daemons as separate processes, each with a settings file.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod daemon;
mod fleet;

pub(crate) use daemon::Daemon;
pub(crate) use fleet::{Call, CallMethod, Fleet, example_config, outcome_of, patiently, send_call};
