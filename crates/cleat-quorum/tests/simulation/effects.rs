//! Executes the effects of a core on the simulated network and disks.

use cleat_quorum::{Effect, Event, Message, Payload, SyncId, Write};
use rand::RngExt;

use super::{MILLI, Micros, Occurrence, SECOND, Step, Violation, World};

impl World {
    pub(super) fn execute(&mut self, at: usize, effects: Vec<Effect>) -> Result<(), Violation> {
        for effect in effects {
            match effect {
                Effect::Write(write) => {
                    self.checker.check_write(&self.nodes[at], &write)?;
                    let membership = matches!(&write, Write::Append(entries)
                        if entries.iter().any(|e| matches!(e.payload, Payload::Membership(_))));
                    self.nodes[at].disk.pending.push_back(write);
                    if membership {
                        self.trigger_targeted_fault(Step::Membership, at, at);
                    }
                }
                Effect::Sync(sync_id) => self.start_sync(at, sync_id),
                Effect::Send(message) => self.send(at, &message)?,
                Effect::Apply { index, command, .. } => {
                    let node = &mut self.nodes[at];
                    self.checker.check_apply(node, index, &command)?;
                }
                Effect::Restore(snapshot) => self.nodes[at].restore(&snapshot.data),
                Effect::TakeSnapshot(index) => {
                    let data = self.nodes[at].snapshot();
                    self.step(at, Event::SnapshotTaken { index, data })?;
                }
                Effect::ReadReady { id, index } => self.checker.check_read(id, index)?,
                Effect::Accepted { .. }
                | Effect::Rejected(_)
                | Effect::ReadRejected { .. }
                | Effect::LostLeadership => {}
            }
        }
        Ok(())
    }

    pub(super) fn start_sync(&mut self, at: usize, sync_id: SyncId) {
        let (slow_probability, max_slow_duration) = self.plan.slow_sync;
        let max_duration = if self.rng.random_bool(slow_probability) {
            max_slow_duration
        } else {
            4 * MILLI
        };
        let sync_duration = self.rng.random_range(100..max_duration);
        let node = &mut self.nodes[at];
        node.disk.record_sync(sync_id);
        let delay = node.disk.sync_end(self.now, sync_duration) - self.now;
        let incarnation = node.incarnation;
        self.after(delay, Occurrence::SyncDone(at, incarnation, sync_id));
    }

    pub(super) fn sync_done(
        &mut self,
        at: usize,
        incarnation: u64,
        sync_id: SyncId,
    ) -> Result<(), Violation> {
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation || node.core.is_none() {
            return Ok(());
        }
        node.disk.finish_sync(sync_id);
        self.trigger_targeted_fault(Step::Sync, at, at);
        self.step(at, Event::Synced(sync_id))
    }

    pub(super) fn send(&mut self, at: usize, message: &Message) -> Result<(), Violation> {
        self.checker.check_send(&self.nodes[at], message)?;
        let to = message.to.0 as usize;
        let step = Step::of(message);
        let conditions = self.conditions;
        let lost = self.rng.random_bool(0.005 + conditions.drop);
        if !self.nodes[at].blocked_outbound.contains(&message.to) && !lost {
            let copies = 1 + u32::from(self.rng.random_bool(0.01 + conditions.duplicate));
            for _ in 0..copies {
                let delay = self.network_latency();
                self.after(delay, Occurrence::Deliver(message.clone()));
            }
        }
        self.trigger_targeted_fault(step, at, to);
        Ok(())
    }

    pub(super) fn network_latency(&mut self) -> Micros {
        if self.rng.random_bool(0.003 + self.conditions.delay) {
            return self.rng.random_range(MILLI..3 * SECOND);
        }
        if self.rng.random_bool(self.conditions.reorder) {
            return self.rng.random_range(MILLI..300 * MILLI);
        }
        self.rng.random_range(300..3 * MILLI)
    }

    /// Schedules the targeted fault if its step is reached, on one of the two
    /// members involved.
    pub(super) fn trigger_targeted_fault(&mut self, step: Step, from: usize, to: usize) {
        let Some((target_step, fault)) = self.plan.targeted_fault else {
            return;
        };
        let due = self.targeted_injections == 0
            && target_step == step
            && self.now >= SECOND + self.targeted_fault_after;
        if due && self.now < self.plan.faults_end {
            let node = if self.rng.random_bool(0.5) { from } else { to };
            let delay = self.rng.random_range(0..4 * MILLI);
            self.after(delay, Occurrence::InjectTargeted(node, fault));
        }
    }
}
