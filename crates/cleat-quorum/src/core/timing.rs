//! Time-outs and leases, all as durations on monotonic clocks.

use std::time::Duration;

const PERCENT: u32 = 100;

/// The durations of the protocol; equal on every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The pause between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// The shortest silence of a leader after which a member may elect another.
    pub election_timeout_min: Duration,
    /// The longest silence before a voter tries to be elected.
    pub election_timeout_max: Duration,
    /// How long a member serves after a send that the leader confirmed.
    pub member_lease: Duration,
    /// How old a learner's lease may become before the learner asks the leader
    /// to renew it.
    pub lease_renewal: Duration,
    /// By how many percent two clocks may run apart.
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
    /// For a group whose work stands still while nobody leads, and whose members
    /// are few: half the default's silence for twice its heartbeats.
    ///
    /// A change of leader then takes 0.3 to 0.6 s rather than 0.6 to 1.1 s. The
    /// silence has to stay above the pauses of a busy or capped processor, some
    /// 0.1 s, and two heartbeats.
    pub fn fast_failover() -> Timing {
        Timing {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(300),
            election_timeout_max: Duration::from_millis(600),
            ..Timing::default()
        }
    }

    /// How long after a confirmed round the leader may rely on being the only one.
    pub fn leader_lease(&self) -> Duration {
        self.election_timeout_min * (PERCENT - self.clock_drift_percent.min(PERCENT)) / PERCENT
    }

    /// How long the leader waits before it takes a member's lease as lapsed.
    pub fn member_lease_with_drift(&self) -> Duration {
        self.member_lease * (PERCENT + self.clock_drift_percent) / PERCENT
    }
}
