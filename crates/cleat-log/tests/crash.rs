//! A crash between any two steps of `save_snapshot` or of the first open.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

mod scaffold;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use cleat_log::{Record, Snapshot};
use scaffold::{SEGMENT_1, SEGMENT_2, files, five, open, record, recover, restore, snapshot, vote};
use tempfile::tempdir;

type Files = BTreeMap<PathBuf, Vec<u8>>;

/// Every state that the folder passes through between `before` and `after`, with
/// whether the new snapshot is in force there.
fn states(folder: &Path, before: &Files, after: &Files) -> Vec<(bool, Files)> {
    let mut states = Vec::new();
    let (mut now, mut in_force) = (before.clone(), false);
    for name in ["snapshot", SEGMENT_2] {
        let path = folder.join(name);
        let draft = folder.join(format!("{name}.tmp"));
        for length in 0..=after[&path].len() {
            now.insert(draft.clone(), after[&path][..length].to_vec());
            states.push((in_force, now.clone()));
        }
        now.remove(&draft);
        now.insert(path.clone(), after[&path].clone());
        in_force = true;
        states.push((in_force, now.clone()));
    }
    now.remove(&folder.join(SEGMENT_1));
    assert_eq!(&now, after);
    states
}

fn check(taken: &Snapshot, kept: &[Record]) {
    let dir = tempdir().unwrap();
    let mut journal = five(dir.path());
    let before = files(dir.path());
    journal.save_snapshot(taken).unwrap();
    drop(journal);
    let after = files(dir.path());
    let all: Vec<Record> = (1..=5).map(|index| record(index, 1)).collect();
    for (in_force, state) in states(dir.path(), &before, &after) {
        restore(dir.path(), &state);
        let (wanted, records) = match in_force {
            true => (Some(taken), kept),
            false => (None, all.as_slice()),
        };
        let (mut journal, found) = open(dir.path()).unwrap();
        assert_eq!(found.snapshot.as_ref(), wanted);
        assert_eq!(found.records, records);
        assert_eq!(found.hard_state, vote(1, 2));
        let last = records.last().map_or(taken.index, |record| record.index);
        journal.append(&[record(last + 1, 4)]).unwrap();
        journal.sync().unwrap();
        drop(journal);
        let again = recover(dir.path());
        assert_eq!(again.snapshot.as_ref(), wanted);
        assert_eq!(again.records[..records.len()], *records);
        assert_eq!(again.records[records.len()..], [record(last + 1, 4)]);
        let drafts = files(dir.path());
        assert!(
            drafts
                .keys()
                .all(|p| p.extension().is_none_or(|e| e != "tmp"))
        );
    }
}

#[test]
fn save_snapshot_crash_with_records_after_it() {
    check(&snapshot(3, 1), &[record(4, 1), record(5, 1)]);
}

#[test]
fn save_snapshot_crash_with_records_that_contradict_it() {
    check(&snapshot(3, 2), &[]);
    check(&snapshot(8, 2), &[]);
}

#[test]
fn open_crash_before_the_identity() {
    let dir = tempdir().unwrap();
    recover(dir.path());
    let whole = files(dir.path());
    for (path, bytes) in &whole {
        for length in 0..=bytes.len() {
            let mut state = whole.clone();
            state.remove(&dir.path().join("identity.json"));
            state.remove(path);
            let draft = format!("{}.tmp", path.display());
            state.insert(draft.into(), bytes[..length].to_vec());
            restore(dir.path(), &state);
            assert!(recover(dir.path()).fresh);
            assert!(!recover(dir.path()).fresh);
        }
    }
}
