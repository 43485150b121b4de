//! Configuration of a core.

use std::time::Duration;

use super::timing::Timing;
use super::types::MemberId;

/// A member as listed in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Identifier of the member.
    pub id: MemberId,
    /// Whether the settings make the member a voter.
    pub votes: bool,
}

/// Limits on memory use and message size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a command.
    pub max_command_bytes: usize,
    /// Approximate maximum size of the entries in one message. A message
    /// carries at least one entry, whatever its size.
    pub max_batch_bytes: usize,
    /// Maximum size of a state machine snapshot, which is sent in a single
    /// message.
    pub max_snapshot_bytes: usize,
    /// Number of applied entries after which a new snapshot is taken.
    pub compact_after_entries: u64,
    /// Number of entries before a snapshot that stay in memory for slow
    /// members.
    pub retained_entries: u64,
    /// Number of uncommitted entries at which a leader rejects further
    /// proposals.
    pub max_uncommitted_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_command_bytes: 1024 * 1024,
            max_batch_bytes: 256 * 1024,
            max_snapshot_bytes: 16 * 1024 * 1024,
            compact_after_entries: 4096,
            retained_entries: 1024,
            max_uncommitted_entries: 4096,
        }
    }
}

/// Settings for a group that starts from a few seeds and adds members at run
/// time, where the settings don't list every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinConfig {
    /// Whether this member may bootstrap a group with the other seeds. Must be
    /// false for a member that starts later: its disk may be empty because it
    /// was lost.
    pub may_bootstrap: bool,
    /// Number of voters to keep. Every member becomes a voter; while there are
    /// more voters than this, one that has not acknowledged a round of the
    /// leader for `remove_silent_after` is removed.
    pub target_voters: usize,
    /// How long a voter may be silent while there are more than
    /// `target_voters`, before it is removed.
    pub remove_silent_after: Duration,
}

/// Switches that each disable one safety mechanism, so that tests can show that
/// their checks detect its absence. Never changed outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// Send votes and acknowledgements only after the writes that they depend
    /// on are synced.
    pub sync_before_send: bool,
    /// Accept votes only under the recorded disk identity.
    pub identity_check: bool,
    /// Reject vote requests while a leader is live.
    pub leader_stickiness: bool,
    /// Start a lease at the member's own send time.
    pub lease_from_send: bool,
    /// Count the leader's own entries towards a majority only after its sync.
    pub commit_after_own_sync: bool,
    /// Resume service after a lease expired only once the commit index at
    /// renewal is applied.
    pub apply_before_lease_resumes: bool,
    /// Commit only entries of the leader's own term by counting replicas.
    pub own_term_commit: bool,
    /// Grant votes only to candidates whose log is up to date.
    pub log_check: bool,
    /// Let a new leader wait for the leases that its predecessor granted.
    pub inherited_leases: bool,
    /// End the leader lease when a leadership transfer starts.
    pub transfer_ends_lease: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Protections {
            sync_before_send: true,
            identity_check: true,
            leader_stickiness: true,
            lease_from_send: true,
            commit_after_own_sync: true,
            apply_before_lease_resumes: true,
            own_term_commit: true,
            log_check: true,
            inherited_leases: true,
            transfer_ends_lease: true,
        }
    }
}

/// Configuration of one core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Identifier of this member.
    pub id: MemberId,
    /// All configured members, including this one.
    pub members: Vec<MemberConfig>,
    /// Set if members join at run time; `members` then lists the seeds.
    pub join: Option<JoinConfig>,
    /// Timeouts and leases.
    pub timing: Timing,
    /// Limits on memory use and message size.
    pub limits: Limits,
    /// Seed of the random number generator; must differ between incarnations.
    pub seed: u64,
    /// Switches for tests.
    #[doc(hidden)]
    pub protections: Protections,
}

impl CoreConfig {
    /// Creates a configuration with the default timing and limits.
    pub fn new(id: MemberId, members: Vec<MemberConfig>, seed: u64) -> Self {
        CoreConfig {
            id,
            members,
            join: None,
            timing: Timing::default(),
            limits: Limits::default(),
            seed,
            protections: Protections::default(),
        }
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members
            .iter()
            .filter(|member| member.votes)
            .map(|member| member.id)
    }

    /// Whether this member may take part in bootstrapping a group.
    pub(crate) fn may_bootstrap(&self) -> bool {
        self.is_voter(self.id) && self.join.is_none_or(|join| join.may_bootstrap)
    }

    pub(crate) fn is_voter(&self, id: MemberId) -> bool {
        self.voters().any(|voter| voter == id)
    }
}
