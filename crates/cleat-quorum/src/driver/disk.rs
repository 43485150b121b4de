//! The thread that writes and syncs, so that a slow disk delays no heartbeat.

use std::io;
use std::sync::mpsc;
use std::thread;

use tokio::sync::mpsc::UnboundedSender;

use crate::core::{SyncId, Write};
use crate::store::{Store, StoreError};

/// The writes of one step.
pub(crate) struct Batch {
    pub(crate) writes: Vec<Write>,
    pub(crate) sync_id: SyncId,
}

/// Starts the thread. It ends when the sender is dropped or the disk fails.
pub(crate) fn spawn(
    store: impl Store,
    synced: UnboundedSender<Result<SyncId, StoreError>>,
) -> io::Result<mpsc::Sender<Batch>> {
    // The leader holds a bounded number of uncommitted entries, so the queue
    // is bounded as well.
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
        let group = std::iter::once(first).chain(batches.try_iter());
        let result = commit(&mut store, group);
        let failed = result.is_err();
        if synced.send(result).is_err() || failed {
            return;
        }
    }
}

/// Writes all that waits and syncs it at once.
fn commit(
    store: &mut impl Store,
    group: impl Iterator<Item = Batch>,
) -> Result<SyncId, StoreError> {
    let mut last = SyncId::default();
    for batch in group {
        for write in &batch.writes {
            store.write(write)?;
        }
        last = batch.sync_id;
    }
    store.sync()?;
    Ok(last)
}
