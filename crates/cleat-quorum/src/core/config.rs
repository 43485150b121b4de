//! What a core is told at construction.

use std::time::Duration;

use super::timing::Timing;
use super::types::MemberId;

/// A member as the settings list it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// The key of the member.
    pub id: MemberId,
    /// Whether the settings make it a voter.
    pub votes: bool,
}

/// Bounds on memory and message size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest command in bytes.
    pub max_command_bytes: usize,
    /// About how many bytes of entries one message carries; at least one entry.
    pub max_batch_bytes: usize,
    /// The largest snapshot of the state machine in bytes; it travels in one message.
    pub max_snapshot_bytes: usize,
    /// How many applied entries make a new snapshot due.
    pub compact_after_entries: u64,
    /// How many entries before a snapshot stay in memory for slow members.
    pub retained_entries: u64,
    /// How many uncommitted entries a leader holds before it takes no more.
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

/// How a group grows from a few seeds, where the settings do not list every
/// member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinConfig {
    /// Whether this member may found a group with the other seeds. False for
    /// a member that starts later: its empty disk may be a lost one.
    pub may_bootstrap: bool,
    /// How many voters the group keeps. Members beyond them vote too, but
    /// lose their place when they fall silent.
    pub target_voters: usize,
    /// How long a voter beyond that number may be silent.
    pub extra_voter_timeout: Duration,
}

/// Switches that turn single protections off, so that a test can show that
/// its check notices. Never changed outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Protections {
    /// Votes and acknowledgements leave only after the sync they rest on.
    pub sync_before_send: bool,
    /// The right to vote is bound to the identity of the disk.
    pub identity_check: bool,
    /// Votes are refused while a leader is live.
    pub stickiness: bool,
    /// A lease runs from the member's own send time.
    pub lease_from_send: bool,
    /// A leader counts its own entries only after its sync.
    pub commit_after_own_sync: bool,
    /// A lapsed lease resumes only once the commit index at renewal is applied.
    pub apply_before_lease_resumes: bool,
    /// Only entries of the leader's own term are committed by counting.
    pub own_term_commit: bool,
    /// Members vote only for a candidate whose log is up to date.
    pub log_check: bool,
    /// A new leader waits for the leases that its predecessor granted.
    pub inherited_leases: bool,
    /// A leader that hands its lead over trusts its lease no longer.
    pub transfer_ends_lease: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Protections {
            sync_before_send: true,
            identity_check: true,
            stickiness: true,
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

/// The configuration of one core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// This member.
    pub id: MemberId,
    /// All members by the settings, this one included.
    pub members: Vec<MemberConfig>,
    /// Set where members join by themselves; `members` then lists the seeds.
    pub join: Option<JoinConfig>,
    /// Time-outs and leases.
    pub timing: Timing,
    /// Bounds on memory and message size.
    pub limits: Limits,
    /// Where this core's random numbers start; must differ from incarnation to incarnation.
    pub seed: u64,
    /// Test-only switches.
    #[doc(hidden)]
    pub protections: Protections,
}

impl CoreConfig {
    /// A configuration with the default timing and limits.
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

    /// Whether this member may take part in the foundation of a group.
    pub(crate) fn may_bootstrap(&self) -> bool {
        self.is_voter(self.id) && self.join.is_none_or(|join| join.may_bootstrap)
    }

    pub(crate) fn is_voter(&self, id: MemberId) -> bool {
        self.voters().any(|voter| voter == id)
    }
}
