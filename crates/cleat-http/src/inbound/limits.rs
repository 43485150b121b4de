//! What clients may make a process hold.

use std::time::Duration;

const KIB: usize = 1_024;
const MB: usize = 1_000_000;

/// What an open connection costs at most beside its requests and answers: its state, and
/// what may wait unread in its receive buffer.
const CONNECTION_BYTES: usize = 40 * KIB;
/// The part of a machine's memory that requests and answers may take up together.
const REQUESTS_SHARE: usize = 4;

/// The limits that all connections of clients to a process share, and those of each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InboundLimits {
    /// The maximum number of bytes that requests and answers take up together: heads, bodies,
    /// what is decoded from them, and answers that are not read yet.
    pub bytes: usize,
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// How long a body may make no progress.
    pub body_timeout: Duration,
    /// How long an answer may make no progress.
    pub answer_timeout: Duration,
    /// How long a new connection waits for a place, if all are busy with requests.
    pub admission_timeout: Duration,
}

impl InboundLimits {
    /// The limits of a process that may use `memory` bytes, of which its connections may use the
    /// `connections_share`th part, and have `connections` of clients open.
    pub fn of_machine(
        memory: usize,
        connections: usize,
        connections_share: usize,
    ) -> InboundLimits {
        let affordable = memory / connections_share / CONNECTION_BYTES;
        InboundLimits {
            bytes: memory / REQUESTS_SHARE,
            connections: connections.min(affordable),
            ..InboundLimits::default()
        }
    }
}

impl Default for InboundLimits {
    /// Enough for a process with 256 MB.
    fn default() -> InboundLimits {
        InboundLimits {
            bytes: 64 * MB,
            connections: 3_000,
            head_bytes: 24 * KIB,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(20),
            body_timeout: Duration::from_secs(20),
            answer_timeout: Duration::from_secs(20),
            admission_timeout: Duration::from_millis(100),
        }
    }
}
