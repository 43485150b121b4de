//! The configuration of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cleat_jobs::SchedulerConfig;
use cleat_quorum::{MemberId, Timing};

use crate::PeerAddressing;

/// The configuration of a control instance, read at its start.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The name of the instance. Its data folder can be opened only under this name.
    pub name: Box<str>,
    /// The member ID of the instance.
    pub id: MemberId,
    /// The address on which it listens for other instances.
    pub listen: SocketAddr,
    /// How other instances are addressed.
    pub addressing: PeerAddressing,
    /// The instances that may bootstrap the group.
    pub seeds: Vec<MemberId>,
    /// Whether this instance may take part in bootstrapping the group.
    pub may_bootstrap: bool,
    /// The number of voters in the group: twice the number of tolerated losses, plus
    /// one.
    pub voters: usize,
    /// How long a voter may be silent before it is removed from the group, while
    /// there are more than `voters`.
    pub remove_silent_after: Duration,
    /// The folder of its log and snapshots.
    pub data_folder: PathBuf,
    /// Whether calls of workers and operators are redirected to another instance while
    /// this one reaches no leader.
    pub redirect_calls: bool,
    /// About how much memory accepted jobs may take up, in bytes.
    pub jobs_bytes: u64,
    /// The timeouts and leases of the consensus group.
    pub timing: Timing,
    /// The configuration of the scheduler.
    pub scheduler: SchedulerConfig,
}
