//! Workers whose machine is listed without them.
//!
//! A worker that does not answer may run on, so its tasks wait until its lease
//! is over: up to 4.9 s, after a takeover with all that an earlier owner may have
//! started in its pool. Where the platform lists its machine as down, on its
//! way, or with another life, it runs nothing any more and nobody has to wait.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::machine::{MachineState, MachineView};
use crate::schedule::Scheduler;
use crate::schedule::decision::LifeOver;
use crate::schedule::worker::{Worker, WorkerKey};

impl Scheduler {
    /// Ends the lives that two lists in a row say are over. One may hold an entry
    /// of another writer, with its worker left out.
    pub(super) fn end_absent_lives(&mut self, list: &[MachineView], sent_at: Duration) {
        let named: IndexSet<&str> = list
            .iter()
            .filter_map(|view| view.worker.as_deref())
            .collect();
        let by_machine: IndexMap<&str, &MachineView> =
            list.iter().map(|view| (&*view.name, view)).collect();
        // How the life of a worker would be over that the list leaves out.
        let absent = |worker: &Worker| {
            let known_before = worker.known_since <= sent_at;
            if !known_before || !worker.is_unreachable() || named.contains(&*worker.record.name) {
                return None;
            }
            let view = by_machine.get(worker.record.machine.as_deref()?)?;
            tells_what_it_runs(view).then(|| match view.was_taken_from(&worker.record.pool) {
                true => LifeOver::MachineOrdered,
                false => LifeOver::Absent,
            })
        };
        let mut over: Vec<(WorkerKey, LifeOver)> = Vec::new();
        for key in self.workers.keys() {
            let worker = &mut self.workers[key];
            match absent(worker) {
                None => worker.absent_since = None,
                Some(how) if worker.absent_since.is_some() => over.push((key, how)),
                Some(_) => worker.absent_since = Some(sent_at),
            }
        }
        for (key, how) in over {
            self.end_life(key, how);
        }
    }
}

/// Whether a machine is listed as being away, or as running a worker; a machine
/// that is up and names none says nothing.
fn tells_what_it_runs(view: &MachineView) -> bool {
    match view.state {
        MachineState::Moving | MachineState::Maintained | MachineState::Down => true,
        MachineState::Up => view.worker.is_some(),
        MachineState::Unknown => false,
    }
}
