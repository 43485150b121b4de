//! Recovery of an instance whose disk failed a write.
//!
//! The replica stops, but the instance still forwards calls to the leader. Once the
//! disk is writable again, it reopens the replica from the data folder, as a restart
//! of the process would. Unlike during a restart, workers and operators that call this
//! instance in the meantime get answers.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use cleat_log::Journal;
use cleat_quorum::Replica;
use log::warn;
use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use super::{ControlConfig, Shared, replica_config};
use crate::StartError;
use crate::error::{DataFolderSnafu, ReplicaSnafu};
use crate::events::ControlEvent;
use crate::links::{LinkTransport, Links};
use crate::state_machine::{JobsStateMachine, SharedState};

/// The interval between write probes. Callers do not notice that one of five voters
/// is missing for a second longer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of bytes that a probe must write: as much as the log grows in a few
/// seconds.
const PROBE_BYTES: usize = 256 * 1024;
const PROBE_FILE: &str = "probe.tmp";

/// Opens the replica from the data folder.
pub(super) fn open_replica(
    cfg: &ControlConfig,
    links: &Arc<Links>,
    state: &Arc<SharedState>,
) -> Result<Replica, StartError> {
    let disk = Journal::open(&cfg.data_folder, &cfg.name).context(DataFolderSnafu)?;
    let transport = LinkTransport(links.clone());
    let machine = JobsStateMachine(state.clone());
    let replica = Replica::spawn(replica_config(cfg), disk, transport, machine);
    replica.context(ReplicaSnafu)
}

/// Reopens the replica after each disk failure, until the instance stops.
pub(super) async fn reopen_after_disk_failure(
    shared: Arc<Shared>,
    cfg: ControlConfig,
    links: Arc<Links>,
) {
    loop {
        shared.replica().wait_stopped().await;
        if shared.is_stopping() {
            return;
        }
        let since = Instant::now();
        shared.events.emit(&ControlEvent::DiskFailed);
        let replica = loop {
            sleep(PROBE_INTERVAL).await;
            if is_writable(cfg.data_folder.clone()).await {
                shared.state.clear();
                match open_replica(&cfg, &links, &shared.state) {
                    Ok(replica) => break replica,
                    Err(error) => {
                        warn!("the disk is writable, but the replica can't be reopened: {error}");
                    }
                }
            }
        };
        shared.replica.store(Arc::new(replica));
        let lasted_ms = since.elapsed().as_millis();
        shared.events.emit(&ControlEvent::DiskWell { lasted_ms });
    }
}

async fn is_writable(folder: PathBuf) -> bool {
    let probed = tokio::task::spawn_blocking(move || probe(&folder)).await;
    match probed {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            warn!("the data folder is not writable: {error}");
            false
        }
        Err(error) => {
            warn!("the write probe of the data folder did not complete: {error}");
            false
        }
    }
}

/// Writes and syncs a probe file, and removes it whether or not that succeeded.
fn probe(folder: &Path) -> io::Result<()> {
    let path = folder.join(PROBE_FILE);
    let written = File::create(&path).and_then(|mut file| {
        file.write_all(&vec![0; PROBE_BYTES])?;
        file.sync_all()
    });
    match fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => written,
    }
}
