//! In-memory log: entries, the latest snapshot, and the memberships in both.

use std::collections::VecDeque;
use std::sync::Arc;

use super::types::{Entry, LogIndex, Membership, Payload, Snapshot, Term};

/// The part of the log that this member holds in memory.
#[derive(Debug)]
pub(crate) struct Log {
    /// Latest snapshot; `None` while the member is uninitialized.
    snapshot: Option<Arc<Snapshot>>,
    /// Position and term of the entry before the first one in memory.
    ///
    /// Invariant: `base_index <= snapshot.index`, and both are committed.
    base_index: LogIndex,
    base_term: Term,
    /// Invariant: consecutive from `base_index + 1`.
    entries: VecDeque<Entry>,
    /// Memberships with the index of the entry that created them, in ascending
    /// order.
    ///
    /// Invariant: the first one is not after the snapshot.
    memberships: Vec<(LogIndex, Arc<Membership>)>,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            snapshot: None,
            base_index: 0,
            base_term: 0,
            entries: VecDeque::new(),
            memberships: vec![(0, Arc::default())],
        };
        if let Some(snapshot) = snapshot {
            log.install(snapshot);
        }
        for entry in entries {
            if entry.index == log.last_index() + 1 {
                log.push(entry);
            }
        }
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.entries
            .back()
            .map_or(self.base_index, |entry| entry.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the first index of the consecutive entries that share the term
    /// of `index`.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Returns entries from `from` on, up to about `max_bytes` but at least
    /// one.
    pub(crate) fn batch(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            bytes += entry_size(entry);
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Latest membership, committed or not.
    pub(crate) fn membership(&self) -> &Arc<Membership> {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry that created the latest membership.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Membership as of the given entry.
    pub(crate) fn membership_at(&self, index: LogIndex) -> Arc<Membership> {
        let found = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        found.map_or_else(Arc::default, |(_, membership)| membership.clone())
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships
                .push((entry.index, Arc::new(membership.clone())));
        }
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.last_index() >= index && !self.entries.is_empty() {
            self.entries.pop_back();
        }
        // The first membership is not after the snapshot, so it is committed.
        let first_kept = 1;
        while self.memberships.len() > first_kept && self.membership_index() >= index {
            self.memberships.pop();
        }
    }

    /// Installs a snapshot from the leader. Later entries are retained only if
    /// the log contains the snapshot's last entry.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) {
        if self.term_at(snapshot.index) == Some(snapshot.term) && self.snapshot.is_some() {
            self.compact(snapshot, 0);
            return;
        }
        self.entries.clear();
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.memberships = vec![(snapshot.index, Arc::new(snapshot.membership.clone()))];
        self.snapshot = Some(snapshot);
    }

    /// Replaces the snapshot with a later one and drops the entries that it
    /// covers, except for the last `keep`.
    pub(crate) fn compact(&mut self, snapshot: Arc<Snapshot>, keep: u64) {
        let base = snapshot.index.saturating_sub(keep).max(self.base_index);
        if let Some(term) = self.term_at(base) {
            let dropped = usize::try_from(base - self.base_index).unwrap_or(usize::MAX);
            self.entries.drain(..dropped.min(self.entries.len()));
            self.base_index = base;
            self.base_term = term;
        }
        let before = self
            .memberships
            .iter()
            .filter(|(at, _)| *at <= base)
            .count();
        self.memberships.drain(..before.saturating_sub(1));
        self.snapshot = Some(snapshot);
    }
}

fn entry_size(entry: &Entry) -> usize {
    const OVERHEAD: usize = 16;
    let payload = match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Noop | Payload::Membership(_) => 0,
    };
    OVERHEAD + payload
}
