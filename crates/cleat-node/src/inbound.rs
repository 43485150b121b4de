//! The limits of inbound connections, from the settings of a process.

use std::time::Duration;

use cleat_http::InboundLimits;
use cleat_settings::InboundSettings;
use rustix::process::{Resource, getrlimit};

const MB: usize = 1_000_000;

/// The part of the connections that clients may open, as a divisor. The rest is for those that a
/// process opens itself, whatever its clients do.
pub const INBOUND_SHARE: usize = 2;

/// The machine of a process.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// The memory that it may use, in MB.
    pub memory_mb: u32,
    /// The part of it, as a divisor, that inbound connections may use beside their requests.
    pub connections_share: usize,
    /// How many inbound connections it may have at most.
    pub connections: usize,
}

/// The limits of inbound connections on a machine.
pub fn inbound_limits(settings: InboundSettings, machine: Machine) -> InboundLimits {
    let memory = usize::try_from(machine.memory_mb).unwrap_or(usize::MAX);
    let memory = memory.saturating_mul(MB);
    let limits = InboundLimits::of_machine(memory, machine.connections, machine.connections_share);
    let milliseconds = |number: u32| Duration::from_millis(number.into());
    InboundLimits {
        head_bytes: usize::try_from(settings.head_bytes).unwrap_or(usize::MAX),
        head_timeout: milliseconds(settings.head_timeout_ms),
        idle_timeout: milliseconds(settings.idle_timeout_ms),
        body_timeout: milliseconds(settings.body_timeout_ms),
        answer_timeout: milliseconds(settings.answer_timeout_ms),
        admission_timeout: milliseconds(settings.admission_timeout_ms),
        ..limits
    }
}

/// How many files the system allows the process.
pub fn allowed_files() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |files| {
        usize::try_from(files).unwrap_or(usize::MAX)
    })
}
