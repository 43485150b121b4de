//! Application of committed entries, and state machine snapshots.

use std::sync::Arc;

use super::event::Write;
use super::types::{BOOTSTRAP_INDEX, LogIndex, Payload, Snapshot};
use super::{Core, Effect};

impl Core {
    /// Applies all committed entries.
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
        self.request_snapshot();
    }

    pub(super) fn request_snapshot(&mut self) {
        let last = self.log.snapshot_index().max(self.requested_snapshot_index);
        if self.applied >= last + self.config.limits.compact_after_entries {
            self.requested_snapshot_index = self.applied;
            self.effects.push(Effect::TakeSnapshot(self.applied));
        }
    }

    pub(super) fn on_snapshot_taken(&mut self, index: LogIndex, data: Arc<[u8]>) {
        // A new snapshot must cover more than the current one, and only entries
        // that this member has applied.
        let unusable = index <= self.log.snapshot_index() || index > self.applied;
        if unusable || data.len() > self.config.limits.max_snapshot_bytes {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let membership = (*self.log.membership_at(index)).clone();
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            group: self.group,
            membership,
            data,
        });
        self.write(Write::Snapshot(snapshot.clone()));
        self.log
            .compact(snapshot, self.config.limits.retained_entries);
    }

    /// Restores the state machine from the snapshot. The bootstrap snapshot is
    /// skipped, as it contains no state machine data.
    pub(super) fn restore_snapshot(&mut self) {
        if let Some(snapshot) = self
            .log
            .snapshot()
            .filter(|snapshot| snapshot.index > BOOTSTRAP_INDEX)
        {
            self.effects.push(Effect::Restore(snapshot.clone()));
        }
    }
}
