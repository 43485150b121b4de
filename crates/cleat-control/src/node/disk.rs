//! What becomes of an instance whose disk refuses writes.
//!
//! It takes no part in the group, but passes calls on to the leader. Once the disk
//! takes writes again, the replica is opened anew from what the data folder holds,
//! as a start of the process would: workers and operators that call this instance
//! meanwhile get their answers, which they would not while it is started again.

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
use crate::machine::{JobsMachine, SharedState};

/// How often it is tried whether the disk takes writes: a second without one of
/// five voters costs callers nothing.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How much a disk has to take to count as well: the log of some seconds.
const PROBE_BYTES: usize = 256 * 1024;
const PROBE: &str = "probe.tmp";

/// Opens the replica from the data folder.
pub(super) fn open_replica(
    cfg: &ControlConfig,
    links: &Arc<Links>,
    state: &Arc<SharedState>,
) -> Result<Replica, StartError> {
    let disk = Journal::open(&cfg.data_folder, &cfg.name).context(DataFolderSnafu)?;
    let transport = LinkTransport(links.clone());
    let machine = JobsMachine(state.clone());
    let replica = Replica::spawn(replica_config(cfg), disk, transport, machine);
    replica.context(ReplicaSnafu)
}

/// Opens the replica anew whenever its disk failed, until the instance stops.
pub(super) async fn reopen_failed(shared: Arc<Shared>, cfg: ControlConfig, links: Arc<Links>) {
    loop {
        shared.replica().wait_stopped().await;
        if shared.is_stopping() {
            return;
        }
        let since = Instant::now();
        shared.events.emit(&ControlEvent::DiskFailed);
        let replica = loop {
            sleep(PROBE_INTERVAL).await;
            if takes_writes(cfg.data_folder.clone()).await {
                shared.state.clear();
                match open_replica(&cfg, &links, &shared.state) {
                    Ok(replica) => break replica,
                    Err(error) => warn!("the disk takes writes, but {error}"),
                }
            }
        };
        shared.replica.store(Arc::new(replica));
        let lasted_ms = since.elapsed().as_millis();
        shared.events.emit(&ControlEvent::DiskWell { lasted_ms });
    }
}

async fn takes_writes(folder: PathBuf) -> bool {
    let probed = tokio::task::spawn_blocking(move || probe(&folder)).await;
    match probed {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            warn!("the disk takes no writes: {error}");
            false
        }
        Err(error) => {
            warn!("the disk can't be tried: {error}");
            false
        }
    }
}

/// Writes a file of its own, and removes it whatever came of that.
fn probe(folder: &Path) -> io::Result<()> {
    let path = folder.join(PROBE);
    let written = File::create(&path).and_then(|mut file| {
        file.write_all(&vec![0; PROBE_BYTES])?;
        file.sync_all()
    });
    match fs::remove_file(&path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => written,
    }
}
