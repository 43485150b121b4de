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
        let is_absent = |worker: &Worker| {
            let machine = worker.record.machine.as_deref();
            let view = machine.and_then(|machine| by_machine.get(machine));
            let known_before = worker.known_since <= sent_at;
            known_before
                && worker.is_out_of_reach()
                && !named.contains(&*worker.record.name)
                && view.is_some_and(|view| tells_what_it_runs(view))
        };
        let mut over: Vec<(WorkerKey, bool)> = Vec::new();
        for key in self.workers.keys() {
            let worker = &mut self.workers[key];
            if !is_absent(worker) {
                worker.absent_since = None;
            } else if worker.absent_since.is_none() {
                worker.absent_since = Some(sent_at);
            } else {
                let machine = worker.record.machine.as_deref();
                let view = machine.and_then(|machine| by_machine.get(machine));
                let pool = &worker.record.pool;
                over.push((key, view.is_some_and(|view| view.was_taken_from(pool))));
            }
        }
        for (key, ordered) in over {
            let how = match ordered {
                true => LifeOver::MachineOrdered,
                false => LifeOver::Absent,
            };
            self.life_over(key, how);
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
