//! The configuration of a replica.

use crate::core::{CoreConfig, JoinConfig, Limits, MemberConfig, MemberId, Timing};

/// Everything a replica is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    pub(crate) core: CoreConfig,
}

impl ReplicaConfig {
    /// Member `id` of the configured `members`; `seed` must differ from incarnation
    /// to incarnation.
    pub fn new(id: MemberId, members: Vec<MemberConfig>, seed: u64) -> ReplicaConfig {
        let core = CoreConfig::new(id, members, seed);
        ReplicaConfig { core }
    }

    /// Lets members join that `members` does not list; see [`JoinConfig`].
    #[must_use]
    pub fn with_join_config(mut self, join: JoinConfig) -> ReplicaConfig {
        self.core.join = Some(join);
        self
    }

    /// Replaces the time-outs and leases; they must be equal on all members.
    #[must_use]
    pub fn with_timing(mut self, timing: Timing) -> ReplicaConfig {
        self.core.timing = timing;
        self
    }

    /// Replaces the bounds on memory and message size.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> ReplicaConfig {
        self.core.limits = limits;
        self
    }
}
