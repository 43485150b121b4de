//! Timeouts and leases, as durations on monotonic clocks.

use std::time::Duration;

const PERCENT: u32 = 100;

/// Durations used by the protocol. They must be equal on all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without contact to a leader before a member may elect
    /// another.
    pub election_timeout_min: Duration,
    /// Maximum time without contact to a leader before a voter starts an
    /// election.
    pub election_timeout_max: Duration,
    /// How long a member may serve, counted from an acknowledgement that the
    /// leader echoed.
    pub member_lease: Duration,
    /// Age of its lease at which a learner requests a renewal.
    pub lease_renewal: Duration,
    /// Maximum difference between the rates of two clocks, in percent.
    pub clock_drift_percent: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            heartbeat_interval: Duration::from_millis(200),
            election_timeout_min: Duration::from_millis(600),
            election_timeout_max: Duration::from_millis(1100),
            member_lease: Duration::from_millis(1500),
            lease_renewal: Duration::from_millis(450),
            clock_drift_percent: 5,
        }
    }
}

impl Timing {
    /// Timing for a small group whose clients are blocked while there is no
    /// leader: half the default election timeout at twice the heartbeat rate.
    ///
    /// A change of leader takes 0.3 to 0.6 s instead of 0.6 to 1.1 s. The
    /// election timeout must stay above two heartbeat intervals and above
    /// scheduling delays of about 0.1 s, which occur on a busy or CPU-limited
    /// machine.
    pub fn fast_failover() -> Timing {
        Timing {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(300),
            election_timeout_max: Duration::from_millis(600),
            ..Timing::default()
        }
    }

    /// How long after sending a round that a majority acknowledged the leader
    /// can rely on being the only leader.
    pub fn leader_lease(&self) -> Duration {
        self.election_timeout_min * (PERCENT - self.clock_drift_percent.min(PERCENT)) / PERCENT
    }

    /// How long the leader waits before it treats a member's lease as expired.
    pub fn member_lease_with_drift(&self) -> Duration {
        self.member_lease * (PERCENT + self.clock_drift_percent) / PERCENT
    }
}
