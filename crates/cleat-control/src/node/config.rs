//! What a control instance is told.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cleat_jobs::SchedulerConfig;
use cleat_quorum::{MemberId, Timing};

use crate::PeerAddressing;

/// What a control instance is told at its start.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Its name, which its data folder is bound to.
    pub name: Box<str>,
    /// Its key.
    pub id: MemberId,
    /// Where it listens for other instances.
    pub listen: SocketAddr,
    /// How others are reached.
    pub address: PeerAddressing,
    /// The instances that may found the group.
    pub seeds: Vec<MemberId>,
    /// Whether this instance may take part in founding it.
    pub may_found: bool,
    /// How many voters the group needs: twice the losses to bear, and one.
    pub voters: usize,
    /// How long a voter beyond that number may be silent before it is removed.
    pub remove_silent_after: Duration,
    /// Where its part of the state is kept.
    pub data_folder: PathBuf,
    /// Time-outs and leases of the group.
    pub timing: Timing,
    /// The durations of the owner.
    pub scheduler: SchedulerConfig,
}
