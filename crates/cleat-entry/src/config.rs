//! What an entry is told when it is bound.

use std::net::SocketAddr;
use std::time::Duration;

/// The identity, address and bounds of one entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// The name of this instance, one of `entries`.
    pub name: Box<str>,
    /// The data centre it stands in.
    pub data_centre: Box<str>,
    /// This life of the instance, never used before.
    pub incarnation: u64,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// All instances of the system's own, sorted, the same list on each: they
    /// divide the slots of every target among them.
    pub entries: Vec<Box<str>>,
    /// The seed of every random choice.
    pub seed: u64,
    /// The bounds.
    pub limits: Limits,
}

/// Bounds of one entry that no configuration of the fleet states.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The largest header block of a request, in bytes.
    pub max_header_bytes: usize,
    /// The most bytes that buffered answers hold at once; beyond it answers
    /// are passed on as they come.
    pub response_memory_bytes: usize,
    /// The most bytes that request bodies hold at once; beyond it requests
    /// are refused.
    pub request_memory_bytes: usize,
    /// The most connections of callers; beyond it new ones wait unaccepted.
    pub max_connections: usize,
    /// The most idempotency keys in hand at once, from before the claim until
    /// its settlement stands.
    pub max_claims: usize,
    /// The longest that opening a connection to a target may take.
    pub connect_timeout: Duration,
    /// How long an unused connection to a target is kept.
    pub idle_timeout: Duration,
    /// The longest a caller may take for the header block of a request; also
    /// how long an idle connection of a caller is kept.
    pub header_read_timeout: Duration,
    /// The longest a caller may take no byte of an answer.
    pub caller_write_timeout: Duration,
    /// How long a draining entry still takes requests, answering each with
    /// `Connection: close`, so that no request is lost on its way.
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
            max_connections: 4_096,
            max_claims: 4_096,
            connect_timeout: Duration::from_millis(300),
            // Below the 5 s after which common servers close unused
            // connections, so that a request seldom meets a closing one.
            idle_timeout: Duration::from_secs(4),
            header_read_timeout: Duration::from_secs(30),
            caller_write_timeout: Duration::from_secs(30),
            drain_delay: Duration::from_millis(500),
        }
    }
}
