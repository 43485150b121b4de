//! What a sequence of entries amounts to.

use crate::entry::{Base, Entry};
use crate::{Damage, HardState, Record, Snapshot};

/// The state after the entries so far.
///
/// Invariant: `records` follow `base` and each other without gaps.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// The last term and vote.
    pub(crate) hard_state: HardState,
    /// What comes before the first record.
    pub(crate) base: Base,
    /// The records after the base.
    pub(crate) records: Vec<Record>,
}

impl Replay {
    /// The index of the last record, or the base's where there is none.
    pub(crate) fn last_index(&self) -> u64 {
        self.base.index + self.records.len() as u64
    }

    /// Takes the next entry.
    pub(crate) fn apply(&mut self, entry: Entry<'_>) -> Result<(), Damage> {
        match entry {
            Entry::Base(base) => self.base = base,
            Entry::HardState(state) => self.hard_state = state,
            Entry::TruncateFrom(index) => {
                let kept = index.checked_sub(self.base.index + 1);
                let kept = kept.ok_or(Damage::Gap)?;
                self.records
                    .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
            }
            Entry::Append {
                index,
                term,
                payload,
            } => {
                if index != self.last_index() + 1 {
                    return Err(Damage::Gap);
                }
                let payload = payload.into();
                self.records.push(Record {
                    index,
                    term,
                    payload,
                });
            }
        }
        Ok(())
    }

    /// Drops what `snapshot` contains. Records after it stay only if they continue it,
    /// that is if the record at its index has its term.
    pub(crate) fn rebase(&mut self, snapshot: &Snapshot) {
        let position = snapshot.index.checked_sub(self.base.index + 1);
        let position = position.and_then(|at| usize::try_from(at).ok());
        let continues = position.filter(|&at| {
            let record = self.records.get(at);
            record.is_some_and(|record| record.term == snapshot.term)
        });
        match continues {
            Some(at) => drop(self.records.drain(..=at)),
            None => self.records.clear(),
        }
        self.base = Base {
            index: snapshot.index,
            term: snapshot.term,
        };
    }

    /// The entries of a new chain with this state, but for its base.
    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry<'_>> {
        let hard_state = Entry::HardState(self.hard_state);
        let records = self.records.iter().map(append);
        std::iter::once(hard_state).chain(records)
    }
}

/// The entry that appends `record`.
pub(crate) fn append(record: &Record) -> Entry<'_> {
    Entry::Append {
        index: record.index,
        term: record.term,
        payload: &record.payload,
    }
}
