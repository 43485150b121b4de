//! Configuration of a replica.

use crate::core::{CoreConfig, JoinConfig, Limits, MemberConfig, MemberId, Timing};

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    pub(crate) core: CoreConfig,
}

impl ReplicaConfig {
    /// Creates the configuration of member `id` among the configured `members`.
    /// `seed` must differ between incarnations.
    pub fn new(id: MemberId, members: Vec<MemberConfig>, seed: u64) -> ReplicaConfig {
        let core = CoreConfig::new(id, members, seed);
        ReplicaConfig { core }
    }

    /// Allows members that `members` doesn't list to join; see [`JoinConfig`].
    #[must_use]
    pub fn with_join_config(mut self, join: JoinConfig) -> ReplicaConfig {
        self.core.join = Some(join);
        self
    }

    /// Sets the timeouts and leases, which must be equal on all members.
    #[must_use]
    pub fn with_timing(mut self, timing: Timing) -> ReplicaConfig {
        self.core.timing = timing;
        self
    }

    /// Sets the limits on memory use and message size.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> ReplicaConfig {
        self.core.limits = limits;
        self
    }
}
