//! What waits for the disk.

use std::collections::VecDeque;

use super::event::SyncId;
use super::message::Message;
use super::types::{LogIndex, MemberId, Term};

/// Something that must not happen before a sync.
#[derive(Debug)]
pub(crate) enum Deferred {
    /// A message that states what is on the disk.
    Send(Message),
    /// The acknowledgement of entries that agree with the leader's up to `verified`.
    Ack {
        to: MemberId,
        round: u64,
        term: Term,
        verified: LogIndex,
    },
    /// The candidate's vote for itself.
    OwnVote { term: Term },
}

/// The state of the disk as far as the core knows.
#[derive(Debug)]
pub(crate) struct Durability {
    /// Whether this step wrote something.
    pub(crate) dirty: bool,
    issued: SyncId,
    synced: SyncId,
    /// The sync that covers the latest term, vote and snapshot: what every
    /// message rests on.
    critical: SyncId,
    /// The last entry on the disk. Invariant: never beyond the log.
    durable_index: LogIndex,
    /// The last entry at the time of each sync under way.
    syncing: VecDeque<(SyncId, LogIndex)>,
    deferred: VecDeque<(SyncId, Deferred)>,
}

impl Durability {
    pub(crate) fn new(durable_index: LogIndex) -> Durability {
        Durability {
            dirty: false,
            issued: SyncId(0),
            synced: SyncId(0),
            critical: SyncId(0),
            durable_index,
            syncing: VecDeque::new(),
            deferred: VecDeque::new(),
        }
    }

    pub(crate) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Whether all writes so far are on the disk.
    pub(crate) fn is_clean(&self) -> bool {
        !self.dirty && self.issued == self.synced
    }

    /// Notes that this step wrote the term, the vote or a snapshot.
    pub(crate) fn critical_written(&mut self) {
        self.critical = SyncId(self.issued.0 + 1);
    }

    /// Whether the latest term, vote and snapshot are on the disk.
    pub(crate) fn critical_synced(&self) -> bool {
        self.critical <= self.synced
    }

    pub(crate) fn defer(&mut self, deferred: Deferred) {
        let next = SyncId(self.issued.0 + u64::from(self.dirty));
        self.deferred.push_back((next, deferred));
    }

    /// Ends a step that wrote: gives the sync to ask for.
    pub(crate) fn seal(&mut self, last_index: LogIndex) -> Option<SyncId> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        self.issued.0 += 1;
        self.syncing.push_back((self.issued, last_index));
        Some(self.issued)
    }

    /// Entries from `index` on were dropped: no sync covers them.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let last = index.saturating_sub(1);
        self.durable_index = self.durable_index.min(last);
        for (_, at) in &mut self.syncing {
            *at = (*at).min(last);
        }
    }

    /// Notes a finished sync and gives what waited for it.
    pub(crate) fn synced(&mut self, sync_id: SyncId) -> Vec<Deferred> {
        self.synced = self.synced.max(sync_id);
        while let Some((_, at)) = self.syncing.pop_front_if(|(t, _)| *t <= sync_id) {
            self.durable_index = self.durable_index.max(at);
        }
        let mut ready = Vec::new();
        while let Some((_, deferred)) = self.deferred.pop_front_if(|(t, _)| *t <= sync_id) {
            ready.push(deferred);
        }
        ready
    }
}
