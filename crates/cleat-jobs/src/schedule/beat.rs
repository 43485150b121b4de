//! Heartbeats: how workers become known.

use super::worker::WorkerState;
use super::{Heartbeat, Scheduler};
use crate::state::{Command, ControlState};

impl Scheduler {
    pub(super) fn beat(&mut self, state: &ControlState, beat: Heartbeat) {
        let name = beat.record.name.clone();
        let Some(key) = self.workers.key(&name) else {
            return self.meet(state, name, beat);
        };
        let worker = &mut self.workers[key];
        if beat.sequence < worker.last_sequence {
            return;
        }
        worker.last_sequence = beat.sequence;
        if worker.draining != beat.draining {
            worker.draining = beat.draining;
            self.dirty = true;
        }
        if worker.state == WorkerState::Lapsed && !worker.renewing {
            worker.renewal_due = self.now;
            self.send_renewals();
        }
    }

    /// A worker that is not known is recorded before it gets any order, so
    /// that the next owner asks it as well.
    fn meet(&mut self, state: &ControlState, name: Box<str>, beat: Heartbeat) {
        let asked = self.announced.contains_key(&name);
        if !asked && !state.workers.contains_key(&name) {
            self.propose(Command::AddWorker(beat.record.clone()));
        }
        self.announced.insert(name, beat);
    }
}
