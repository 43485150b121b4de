//! Disk thread. It writes and syncs outside the task, so that a slow disk
//! doesn't delay heartbeats.

use std::io;
use std::sync::mpsc;
use std::thread;

use tokio::sync::mpsc::UnboundedSender;

use crate::core::{SyncId, Write};
use crate::store::{Store, StoreError};

/// Writes of one step.
pub(crate) struct Batch {
    pub(crate) writes: Vec<Write>,
    pub(crate) sync_id: SyncId,
}

/// Starts the disk thread. It exits when the sender is dropped or the disk
/// fails.
pub(crate) fn spawn(
    store: impl Store,
    synced: UnboundedSender<Result<SyncId, StoreError>>,
) -> io::Result<mpsc::Sender<Batch>> {
    // This queue is bounded as well, because a leader limits its uncommitted
    // entries.
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name("quorum-disk".into())
        .spawn(move || run(store, &rx, &synced))?;
    Ok(tx)
}

fn run(
    mut store: impl Store,
    batches: &mpsc::Receiver<Batch>,
    synced: &UnboundedSender<Result<SyncId, StoreError>>,
) {
    while let Ok(first) = batches.recv() {
        let pending_batches = std::iter::once(first).chain(batches.try_iter());
        let result = write_and_sync(&mut store, pending_batches);
        let failed = result.is_err();
        if synced.send(result).is_err() || failed {
            return;
        }
    }
}

/// Writes all pending batches and makes them durable with one sync.
fn write_and_sync(
    store: &mut impl Store,
    pending_batches: impl Iterator<Item = Batch>,
) -> Result<SyncId, StoreError> {
    let mut last = SyncId::default();
    for batch in pending_batches {
        for write in &batch.writes {
            store.write(write)?;
        }
        last = batch.sync_id;
    }
    store.sync()?;
    Ok(last)
}
