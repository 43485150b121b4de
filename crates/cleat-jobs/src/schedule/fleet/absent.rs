//! Silent workers that are no longer listed on their machine.
//!
//! A worker that does not answer may still be running, so its tasks wait until its lease
//! expires, which takes up to 4.9 s. After a takeover all tasks that an earlier owner may
//! have started in its pool wait as well. If the platform lists its machine as down,
//! moving, in maintenance or with another worker, the life of the worker is over and its
//! tasks need not wait.

use std::time::Duration;

use super::machine::{MachineState, MachineView};
use crate::collections::{IndexMap, IndexSet};
use crate::schedule::Scheduler;
use crate::schedule::decision::LifeOver;
use crate::schedule::worker::{Worker, WorkerKey};
use crate::state::worker_id;

impl Scheduler {
    /// Ends the lives of workers that two successive lists show as absent. A single list
    /// may lack a worker because its entry was written by another source.
    pub(super) fn end_absent_workers(&mut self, list: &[MachineView], sent_at: Duration) {
        let named: IndexSet<&str> = list
            .iter()
            .filter_map(|view| view.worker.as_deref())
            .collect();
        let by_machine: IndexMap<&str, &MachineView> =
            list.iter().map(|view| (&*view.name, view)).collect();
        // How the life of a worker ended, if the list shows that it has.
        let how_ended = |worker: &Worker| {
            let known_before = worker.known_since <= sent_at;
            if !known_before
                || !worker.is_unreachable()
                || named.contains(worker_id(&worker.record.name))
            {
                return None;
            }
            let view = by_machine.get(worker.record.machine.as_deref()?)?;
            is_conclusive(view).then(|| match view.has_left_pool(&worker.record.pool) {
                true => LifeOver::MachineOrdered,
                false => LifeOver::Absent,
            })
        };
        let mut ended: Vec<(WorkerKey, LifeOver)> = Vec::new();
        for key in self.workers.keys() {
            let worker = &mut self.workers[key];
            match how_ended(worker) {
                None => worker.absent_since = None,
                Some(how) if worker.absent_since.is_some() => ended.push((key, how)),
                Some(_) => worker.absent_since = Some(sent_at),
            }
        }
        for (key, how) in ended {
            self.end_life(key, how);
        }
    }
}

/// Whether an entry of the list shows which worker runs on its machine, if any. A machine
/// that is up and names no worker may still run one.
fn is_conclusive(view: &MachineView) -> bool {
    match view.state {
        MachineState::Moving | MachineState::Maintained | MachineState::Down => true,
        MachineState::Up => view.worker.is_some(),
        MachineState::Unknown => false,
    }
}
