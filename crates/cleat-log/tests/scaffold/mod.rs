//! Folders in known states.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use cleat_log::{HardState, Journal, OpenError, Record, Recovered, Snapshot};

pub(crate) const OWNER: &str = "e1";
pub(crate) const SEGMENT_1: &str = "segment-00000000000000000001.log";
pub(crate) const SEGMENT_2: &str = "segment-00000000000000000002.log";

pub(crate) fn record(index: u64, term: u64) -> Record {
    let payload = format!("command {index} of {term}").into_bytes().into();
    Record {
        index,
        term,
        payload,
    }
}

pub(crate) fn vote(term: u64, voted_for: u32) -> HardState {
    let voted_for = Some(voted_for);
    HardState { term, voted_for }
}

pub(crate) fn snapshot(index: u64, term: u64) -> Snapshot {
    let data = format!("state at {index}").into_bytes().into();
    Snapshot { index, term, data }
}

pub(crate) fn open(folder: &Path) -> Result<(Journal, Recovered), OpenError> {
    Journal::open(folder, OWNER)
}

pub(crate) fn recover(folder: &Path) -> Recovered {
    open(folder).unwrap().1
}

/// Records 1 to 5 of term 1 and a vote.
pub(crate) fn five(folder: &Path) -> Journal {
    let mut journal = open(folder).unwrap().0;
    journal.set_hard_state(vote(1, 2)).unwrap();
    let records: Vec<Record> = (1..=5).map(|index| record(index, 1)).collect();
    journal.append(&records).unwrap();
    journal.sync().unwrap();
    journal
}

/// Every file below `folder` with its content.
pub(crate) fn files(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let entries = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    entries.map(|p| (p.clone(), fs::read(p).unwrap())).collect()
}

/// Makes `folder` hold exactly `files`.
pub(crate) fn restore(folder: &Path, files: &BTreeMap<PathBuf, Vec<u8>>) {
    fs::remove_dir_all(folder).unwrap();
    fs::create_dir(folder).unwrap();
    for (path, bytes) in files {
        fs::write(path, bytes).unwrap();
    }
}
