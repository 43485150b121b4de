//! What the bench of the request path is told.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// One of the ways to the same target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BenchSide {
    /// The client straight to the target.
    Direct,
    /// Through the bare forwarder.
    Forwarder,
    /// Through the instance under test.
    Instance,
}

/// Options of [`bench_path`](crate::bench_path).
#[derive(Debug, Clone)]
pub struct BenchOptions {
    /// The target itself.
    pub target: SocketAddr,
    /// The bare forwarder to it.
    pub forwarder: SocketAddr,
    /// The forwarder's process.
    pub forwarder_pid: u32,
    /// The instance's address for callers.
    pub instance: SocketAddr,
    /// The instance's process.
    pub instance_pid: u32,
    /// The service of the target, as the instance knows it.
    pub service: Box<str>,
    /// The lengths of the answers, in bytes.
    pub sizes: Vec<usize>,
    /// How often everything is measured.
    pub rounds: u32,
    /// How long each measurement takes.
    pub duration: Duration,
    /// How many connections the client keeps.
    pub connections: u32,
    /// Requests a second of the open loop; without it half of what the
    /// slowest side reached in the first closed loop.
    pub rate: Option<f64>,
}

impl BenchOptions {
    pub(super) fn address(&self, side: BenchSide) -> SocketAddr {
        match side {
            BenchSide::Direct => self.target,
            BenchSide::Forwarder => self.forwarder,
            BenchSide::Instance => self.instance,
        }
    }

    /// The process between client and target, if there is one.
    pub(super) fn pid(&self, side: BenchSide) -> Option<u32> {
        match side {
            BenchSide::Direct => None,
            BenchSide::Forwarder => Some(self.forwarder_pid),
            BenchSide::Instance => Some(self.instance_pid),
        }
    }
}
