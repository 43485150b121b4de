//! The fake network and disks: where a core's effects go.

use cleat_quorum::{Effect, Event, Message, Payload, SyncId, Write};
use rand::RngExt;

use super::{MILLI, Micros, Occurrence, SECOND, Step, Violation, World};

impl World {
    pub(super) fn carry_out(&mut self, at: usize, effects: Vec<Effect>) -> Result<(), Violation> {
        for effect in effects {
            match effect {
                Effect::Write(write) => {
                    self.checker.check_write(&self.nodes[at], &write)?;
                    let membership = matches!(&write, Write::Append(entries)
                        if entries.iter().any(|e| matches!(e.payload, Payload::Membership(_))));
                    self.nodes[at].disk.pending.push_back(write);
                    if membership {
                        self.reach(Step::Membership, at, at);
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
        let (often, slowest) = self.plan.slow_sync;
        let longest = if self.rng.random_bool(often) {
            slowest
        } else {
            4 * MILLI
        };
        let took = self.rng.random_range(100..longest);
        let node = &mut self.nodes[at];
        node.disk.mark_sync(sync_id);
        let delay = node.disk.sync_ends(self.now, took) - self.now;
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
        self.reach(Step::Sync, at, at);
        self.step(at, Event::Synced(sync_id))
    }

    pub(super) fn send(&mut self, at: usize, message: &Message) -> Result<(), Violation> {
        self.checker.check_send(&self.nodes[at], message)?;
        let to = message.to.0 as usize;
        let step = Step::of(message);
        let conditions = self.conditions;
        let lost = self.rng.random_bool(0.005 + conditions.drop);
        if !self.nodes[at].cut_out.contains(&message.to) && !lost {
            let copies = 1 + u32::from(self.rng.random_bool(0.01 + conditions.duplicate));
            for _ in 0..copies {
                let delay = self.travel_time();
                self.after(delay, Occurrence::Deliver(message.clone()));
            }
        }
        self.reach(step, at, to);
        Ok(())
    }

    pub(super) fn travel_time(&mut self) -> Micros {
        if self.rng.random_bool(0.003 + self.conditions.delay) {
            return self.rng.random_range(MILLI..3 * SECOND);
        }
        if self.rng.random_bool(self.conditions.reorder) {
            return self.rng.random_range(MILLI..300 * MILLI);
        }
        self.rng.random_range(300..3 * MILLI)
    }

    /// Strikes the cell's fault when its step is reached, on either side.
    pub(super) fn reach(&mut self, step: Step, from: usize, to: usize) {
        let Some((cell, fault)) = self.plan.cell else {
            return;
        };
        let due = self.hits == 0 && cell == step && self.now >= SECOND + self.cell_armed;
        if due && self.now < self.plan.heal {
            let node = if self.rng.random_bool(0.5) { from } else { to };
            let soon = self.rng.random_range(0..4 * MILLI);
            self.after(soon, Occurrence::InjectCell(node, fault));
        }
    }
}
