//! The configuration of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use cleat_http::InboundLimits;

/// The identity, addresses and limits of one entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// The name of this instance, which must be in `entries`.
    pub name: Box<str>,
    /// The data centre of this instance.
    pub data_centre: Box<str>,
    /// The incarnation of this entry, a number that no earlier run of the
    /// instance had.
    pub incarnation: u64,
    /// The address to accept connections of callers on.
    pub listen: SocketAddr,
    /// The names of all entries, sorted. The list must be the same on each
    /// entry, because the slots of every target are divided among its members.
    pub entries: Vec<Box<str>>,
    /// The seed of all random choices.
    pub seed: u64,
    /// Limits that are not part of the fleet configuration.
    pub limits: Limits,
}

/// Limits of one entry that are not part of the fleet configuration.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The maximum size of the header block of a request, in bytes.
    pub max_header_bytes: usize,
    /// The maximum number of bytes that buffered responses occupy at a time.
    /// Beyond it, responses are streamed.
    pub response_memory_bytes: usize,
    /// The maximum number of bytes that request bodies occupy at a time. Beyond
    /// it, requests are rejected.
    pub request_memory_bytes: usize,
    /// What connections of callers may hold together, and each of them.
    pub inbound: InboundLimits,
    /// The maximum number of idempotency keys held at a time. A key is held
    /// from before its claim until its settlement is committed.
    pub max_claims: usize,
    /// The timeout for opening a connection to a target.
    pub connect_timeout: Duration,
    /// How long an idle connection to a target is kept open.
    pub idle_timeout: Duration,
    /// How long a draining entry still accepts requests. It adds `Connection:
    /// close` to each response, so that no request that is already on its way
    /// is lost.
    pub drain_delay: Duration,
}

const KIB: usize = 1_024;
const MIB: usize = 1_024 * KIB;

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 32 * KIB,
            response_memory_bytes: 16 * MIB,
            request_memory_bytes: 64 * MIB,
            inbound: InboundLimits::default(),
            max_claims: 4_096,
            connect_timeout: Duration::from_millis(300),
            // Less than the 5 s after which common servers close idle
            // connections, so that a request is rarely sent on a connection
            // that the target is closing.
            idle_timeout: Duration::from_secs(4),
            drain_delay: Duration::from_millis(500),
        }
    }
}
