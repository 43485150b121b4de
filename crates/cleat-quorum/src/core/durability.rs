//! Tracking of syncs, and of the actions that wait for them.

use std::collections::VecDeque;

use super::event::SyncId;
use super::message::Message;
use super::types::{LogIndex, MemberId, Term};

/// An action that must not happen before a sync completes.
#[derive(Debug)]
pub(crate) enum Deferred {
    /// A message that reports durable state.
    Send(Message),
    /// Acknowledgement of entries that match the leader's up to `verified`.
    Ack {
        to: MemberId,
        round: u64,
        term: Term,
        verified: LogIndex,
    },
    /// The candidate's vote for itself.
    OwnVote { term: Term },
}

/// Sync state of the disk, as far as the core knows.
#[derive(Debug)]
pub(crate) struct Durability {
    /// Whether the current step wrote to the disk.
    pub(crate) dirty: bool,
    last_issued: SyncId,
    last_synced: SyncId,
    /// The sync that covers the latest term, vote and snapshot. Every message
    /// depends on it.
    critical_sync: SyncId,
    /// Last durable entry. Invariant: not beyond the end of the log.
    durable_index: LogIndex,
    /// Pending syncs, each with the last entry that it covers.
    pending_syncs: VecDeque<(SyncId, LogIndex)>,
    deferred: VecDeque<(SyncId, Deferred)>,
}

impl Durability {
    pub(crate) fn new(durable_index: LogIndex) -> Durability {
        Durability {
            dirty: false,
            last_issued: SyncId(0),
            last_synced: SyncId(0),
            critical_sync: SyncId(0),
            durable_index,
            pending_syncs: VecDeque::new(),
            deferred: VecDeque::new(),
        }
    }

    pub(crate) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Whether all writes so far are durable.
    pub(crate) fn is_fully_synced(&self) -> bool {
        !self.dirty && self.last_issued == self.last_synced
    }

    /// Records that the current step wrote the term, the vote or a snapshot.
    pub(crate) fn mark_critical_write(&mut self) {
        self.critical_sync = SyncId(self.last_issued.0 + 1);
    }

    /// Whether the latest term, vote and snapshot are durable.
    pub(crate) fn is_critical_state_synced(&self) -> bool {
        self.critical_sync <= self.last_synced
    }

    pub(crate) fn defer(&mut self, deferred: Deferred) {
        let next = SyncId(self.last_issued.0 + u64::from(self.dirty));
        self.deferred.push_back((next, deferred));
    }

    /// Ends a step. If it wrote to the disk, returns the sync to request.
    pub(crate) fn finish_step(&mut self, last_index: LogIndex) -> Option<SyncId> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        self.last_issued.0 += 1;
        self.pending_syncs.push_back((self.last_issued, last_index));
        Some(self.last_issued)
    }

    /// Excludes the entries from `index` on, which were truncated, from the
    /// durable entries and from the pending syncs.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let last = index.saturating_sub(1);
        self.durable_index = self.durable_index.min(last);
        for (_, at) in &mut self.pending_syncs {
            *at = (*at).min(last);
        }
    }

    /// Records a completed sync and returns the actions that were waiting for
    /// it.
    pub(crate) fn complete_sync(&mut self, sync_id: SyncId) -> Vec<Deferred> {
        self.last_synced = self.last_synced.max(sync_id);
        while let Some((_, at)) = self.pending_syncs.pop_front_if(|(t, _)| *t <= sync_id) {
            self.durable_index = self.durable_index.max(at);
        }
        let mut ready = Vec::new();
        while let Some((_, deferred)) = self.deferred.pop_front_if(|(t, _)| *t <= sync_id) {
            ready.push(deferred);
        }
        ready
    }
}
