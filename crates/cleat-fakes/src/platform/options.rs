//! How a stand-in platform behaves.

use std::net::SocketAddr;
use std::time::Duration;

/// Options of a stand-in platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where to listen.
    pub bind: SocketAddr,
    /// How long a drain takes.
    pub drain: Duration,
    /// How long a reboot takes.
    pub reboot: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            bind: ([127, 0, 0, 1], 0).into(),
            drain: Duration::from_millis(100),
            reboot: Duration::from_millis(500),
        }
    }
}
