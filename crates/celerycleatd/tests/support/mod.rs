//! A fleet of daemons as separate processes, each with a settings file.

mod daemon;
mod fleet;

pub(crate) use daemon::Daemon;
pub(crate) use fleet::{Call, CallMethod, Fleet, example_config, outcome_of, patiently, send_call};
