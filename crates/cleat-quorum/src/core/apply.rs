//! Committed entries on their way to the state machine, and its snapshots.

use std::sync::Arc;

use super::event::Write;
use super::types::{GENESIS_INDEX, Image, LogIndex, Payload};
use super::{Core, Effect};

impl Core {
    /// Applies what is committed.
    pub(super) fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                return;
            };
            self.applied += 1;
            if let Payload::Command(command) = &entry.payload {
                let effect = Effect::Apply {
                    index: entry.index,
                    term: entry.term,
                    command: command.clone(),
                };
                self.effects.push(effect);
            }
        }
        self.ask_for_snapshot();
    }

    pub(super) fn ask_for_snapshot(&mut self) {
        let last = self.log.image_index().max(self.snapshot_asked);
        if self.applied >= last + self.config.limits.compact_after {
            self.snapshot_asked = self.applied;
            self.effects.push(Effect::TakeSnapshot(self.applied));
        }
    }

    pub(super) fn snapshot_taken(&mut self, index: LogIndex, data: Arc<[u8]>) {
        let outdated = index <= self.log.image_index() || index > self.applied;
        if outdated || data.len() > self.config.limits.max_snapshot {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let membership = (*self.log.membership_at(index)).clone();
        let image = Arc::new(Image {
            index,
            term,
            group: self.group,
            membership,
            data,
        });
        self.write(Write::Snapshot(image.clone()));
        self.log.compact(image, self.config.limits.keep_entries);
    }

    pub(super) fn restore_image(&mut self) {
        if let Some(image) = self.log.image().filter(|image| image.index > GENESIS_INDEX) {
            self.effects.push(Effect::Restore(image.clone()));
        }
    }
}
