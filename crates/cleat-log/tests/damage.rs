//! A torn tail is cut, any other damage refuses the open and changes nothing.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

mod scaffold;

use std::fs;
use std::path::Path;

use cleat_log::{Damage, HardState, OpenError, Record};
use scaffold::{SEGMENT_1, SEGMENT_2, files, five, open, record, recover, restore, snapshot, vote};
use tempfile::tempdir;

/// The state after each frame, with the length of the segment there.
type States = Vec<(usize, HardState, Vec<Record>)>;

fn small_log(folder: &Path) -> States {
    let mut journal = open(folder).unwrap().0;
    let path = folder.join(SEGMENT_1);
    let length = || usize::try_from(fs::metadata(&path).unwrap().len()).unwrap();
    let mut states = vec![(length(), HardState::default(), Vec::new())];
    for step in 0..6 {
        let (_, mut state, mut records) = states.last().cloned().unwrap();
        match step {
            3 => {
                journal.truncate_from(2).unwrap();
                records.truncate(1);
            }
            4 => {
                state = vote(2, 1);
                journal.set_hard_state(state).unwrap();
            }
            _ => {
                let next = record(records.len() as u64 + 1, state.term);
                journal.append(std::slice::from_ref(&next)).unwrap();
                records.push(next);
            }
        }
        journal.sync().unwrap();
        states.push((length(), state, records));
    }
    states
}

fn assert_refused(folder: &Path, wanted: Option<Damage>, what: &str) {
    let before = files(folder);
    let refused = open(folder).err();
    match (refused, wanted) {
        (Some(OpenError::Damaged { damage, .. }), Some(wanted)) => {
            assert_eq!(damage, wanted, "{what}");
        }
        (refused, _) => assert!(refused.is_some() && wanted.is_none(), "{what}: {refused:?}"),
    }
    assert_eq!(
        files(folder),
        before,
        "{what}: the refusal changed the folder"
    );
}

#[test]
fn open_cut_at_every_byte() {
    let dir = tempdir().unwrap();
    let states = small_log(dir.path());
    let whole = files(dir.path());
    let path = dir.path().join(SEGMENT_1);
    let (sealed, full) = (states[0].0, states[6].0);
    for cut in 0..full {
        for zeros in [0, 1, 700] {
            restore(dir.path(), &whole);
            let mut bytes = whole[&path][..cut].to_vec();
            bytes.resize(cut + zeros, 0);
            fs::write(&path, &bytes).unwrap();
            // Zeros may restore what was cut.
            let pairs = bytes.iter().zip(&whole[&path]);
            let cut = pairs.take_while(|(a, b)| a == b).count();
            let state = states.iter().rev().find(|(at, ..)| *at <= cut);
            let Some((at, hard_state, records)) = state else {
                assert_refused(dir.path(), None, "within the sealed start");
                continue;
            };
            if cut > *at && bytes.len() > cut {
                // A frame whose end reads as zeros may be one that was acknowledged.
                let what = format!("cut at {cut} and {zeros} zeros");
                match open(dir.path()) {
                    Ok((_, found)) => assert_eq!(&found.records, records, "{what}"),
                    Err(refused) => {
                        assert!(matches!(refused, OpenError::Damaged { .. }), "{what}");
                    }
                }
                continue;
            }
            for cut_bytes in [bytes.len() - at, 0] {
                let found = recover(dir.path());
                assert_eq!(found.cut_bytes, cut_bytes as u64, "cut at {cut}");
                assert_eq!(found.hard_state, *hard_state, "cut at {cut}");
                assert_eq!(&found.records, records, "cut at {cut}");
            }
        }
    }
    assert!(sealed < full);
}

#[test]
fn open_flipped_at_every_byte() {
    let dir = tempdir().unwrap();
    small_log(dir.path());
    let mut journal = open(dir.path()).unwrap().0;
    journal.save_snapshot(&snapshot(1, 0)).unwrap();
    journal.append(&[record(3, 2), record(4, 2)]).unwrap();
    journal.sync().unwrap();
    drop(journal);
    let whole = files(dir.path());
    assert_eq!(whole.len(), 3); // identity, snapshot, segment 2
    for (path, bytes) in &whole {
        for at in 0..bytes.len() {
            for mask in [0x01, 0x20, 0x80, 0xff] {
                restore(dir.path(), &whole);
                let mut flipped = bytes.clone();
                flipped[at] ^= mask;
                fs::write(path, flipped).unwrap();
                let what = format!("{} ^ {mask:#x} at {at}", path.display());
                assert_refused(dir.path(), None, &what);
            }
        }
    }
}

#[test]
fn open_without_a_needed_file() {
    let dir = tempdir().unwrap();
    let mut journal = cleat_log::Journal::open_with(dir.path(), "e1", 60)
        .unwrap()
        .0;
    for index in 1..=4 {
        journal.append(&[record(index, 1)]).unwrap();
        journal.sync().unwrap();
    }
    drop(journal);
    let whole = files(dir.path());
    let path = dir.path().join(SEGMENT_2);
    fs::remove_file(&path).unwrap();
    assert_refused(dir.path(), Some(Damage::MissingSegment), "segment 2 gone");
    restore(dir.path(), &whole);
    fs::copy(dir.path().join(SEGMENT_1), &path).unwrap();
    assert_refused(dir.path(), Some(Damage::Header), "segment 1 in place of 2");
    restore(dir.path(), &whole);
    fs::write(&path, &whole[&path][..whole[&path].len() - 1]).unwrap();
    assert_refused(dir.path(), Some(Damage::Short), "segment 2 short");

    let dir = tempdir().unwrap();
    five(dir.path()).save_snapshot(&snapshot(3, 1)).unwrap();
    fs::remove_file(dir.path().join("snapshot")).unwrap();
    assert_refused(dir.path(), Some(Damage::MissingSnapshot), "snapshot gone");
}

#[test]
fn open_refuses_folder_that_is_not_ours() {
    let dir = tempdir().unwrap();
    five(dir.path()).save_snapshot(&snapshot(3, 1)).unwrap();
    let whole = files(dir.path());
    let other = cleat_log::Journal::open(dir.path(), "e2").err();
    assert!(matches!(other, Some(OpenError::OtherOwner { .. })));
    assert_eq!(files(dir.path()), whole);

    let identity = dir.path().join("identity.json");
    fs::write(&identity, r#"{"format":2,"shards":[]}"#).unwrap();
    let other = open(dir.path()).err();
    assert!(matches!(
        other,
        Some(OpenError::OtherFormat { found: 2, .. })
    ));

    fs::remove_file(&identity).unwrap();
    let kept = files(dir.path());
    let lost = open(dir.path()).err();
    assert!(matches!(lost, Some(OpenError::NoIdentity { .. })));
    assert_eq!(files(dir.path()), kept);

    let path = dir.path().join("snapshot");
    let file = open(&path).err();
    assert!(matches!(file, Some(OpenError::NotAFolder { .. })));
    let below = open(&path.join("data")).err();
    assert!(matches!(below, Some(OpenError::NotAFolder { .. })));
    assert_eq!(files(dir.path()), kept);
}

/// Permission bits don't bind root, so this asks for a folder where nobody may make one.
#[test]
fn open_refuses_folder_that_it_may_not_write() {
    let refused = open(Path::new("/sys/kernel/celerycleat")).err();
    assert!(
        matches!(refused, Some(OpenError::NotWritable { .. })),
        "{refused:?}"
    );
}
