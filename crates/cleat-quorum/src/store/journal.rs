//! Store that uses the journal in the data folder.

use std::sync::Arc;

use cleat_log::{Journal, Record, Recovered, Snapshot as JournalSnapshot};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::{Store, StoreError};
use crate::core::{Entry, HardState, MemberId, Membership, Recovery, Snapshot, Write};

/// The content of the journal can't be decoded by this version. Start the
/// version that wrote it, or replace the member.
#[derive(Debug, Snafu)]
#[snafu(display("can't decode journal entry {index}: {source}"))]
pub struct DecodeError {
    /// Index of the entry, or of the last entry in the snapshot.
    index: u64,
    /// Error of the decoder.
    source: postcard::Error,
}

/// The fields of a snapshot that the journal has no place for; encoded as its
/// data.
#[derive(Serialize, Deserialize)]
struct SnapshotBody {
    group: u32,
    membership: Membership,
    data: Arc<[u8]>,
}

/// Decodes the content of a journal into the recovered state of a core.
///
/// # Errors
/// See [`DecodeError`].
pub fn recover(recovered: Recovered) -> Result<Recovery, DecodeError> {
    let snapshot = recovered.snapshot.map(decode_snapshot).transpose()?;
    let entries = recovered.records.iter().map(decode_entry);
    let voted_for = recovered.hard_state.voted_for.map(MemberId);
    Ok(Recovery {
        identity: recovered.identity,
        hard_state: HardState {
            term: recovered.hard_state.term,
            voted_for,
        },
        snapshot: snapshot.map(Arc::new),
        entries: entries.collect::<Result<_, _>>()?,
    })
}

fn decode_snapshot(snapshot: JournalSnapshot) -> Result<Snapshot, DecodeError> {
    let JournalSnapshot { index, term, data } = snapshot;
    let body: SnapshotBody = postcard::from_bytes(&data).context(DecodeSnafu { index })?;
    let SnapshotBody {
        group,
        membership,
        data,
    } = body;
    Ok(Snapshot {
        index,
        term,
        group,
        membership,
        data,
    })
}

fn decode_entry(record: &Record) -> Result<Entry, DecodeError> {
    let Record { index, term, .. } = *record;
    let payload = postcard::from_bytes(&record.payload).context(DecodeSnafu { index })?;
    Ok(Entry {
        index,
        term,
        payload,
    })
}

/// Stores a member's state in a journal.
#[derive(Debug)]
pub struct JournalStore {
    journal: Journal,
}

impl JournalStore {
    /// Wraps an open journal.
    pub fn new(journal: Journal) -> JournalStore {
        JournalStore { journal }
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), StoreError> {
        let records = entries
            .iter()
            .map(encode_entry)
            .collect::<Result<Vec<_>, _>>()?;
        self.journal.append(&records).map_err(StoreError::new)
    }

    fn save(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let body = SnapshotBody {
            group: snapshot.group,
            membership: snapshot.membership.clone(),
            data: snapshot.data.clone(),
        };
        let data = postcard::to_stdvec(&body).map_err(StoreError::new)?.into();
        let snapshot = JournalSnapshot {
            index: snapshot.index,
            term: snapshot.term,
            data,
        };
        self.journal
            .save_snapshot(&snapshot)
            .map_err(StoreError::new)
    }
}

fn encode_entry(entry: &Entry) -> Result<Record, StoreError> {
    let payload = postcard::to_stdvec(&entry.payload).map_err(StoreError::new)?;
    Ok(Record {
        index: entry.index,
        term: entry.term,
        payload: payload.into(),
    })
}

impl Store for JournalStore {
    fn write(&mut self, write: &Write) -> Result<(), StoreError> {
        match write {
            Write::Append(entries) => self.append(entries),
            Write::TruncateFrom(index) => {
                self.journal.truncate_from(*index).map_err(StoreError::new)
            }
            Write::HardState(state) => {
                let state = cleat_log::HardState {
                    term: state.term,
                    voted_for: state.voted_for.map(|MemberId(id)| id),
                };
                self.journal.set_hard_state(state).map_err(StoreError::new)
            }
            Write::Snapshot(snapshot) => self.save(snapshot),
        }
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.journal.sync().map_err(StoreError::new)
    }
}
