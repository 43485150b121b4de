//! A failed write or fsync ends the journal.

use std::fs::File;
use std::path::Path;

use super::Journal;
use crate::{Record, WriteError};

fn record(index: u64) -> Record {
    let payload = [7; 20].into();
    Record {
        index,
        term: 1,
        payload,
    }
}

/// On the first device every write fails, on the second every fsync.
#[test]
fn sync_poisons_after_failure() {
    for device in ["/dev/full", "/dev/null"] {
        let dir = tempfile::tempdir().unwrap();
        let (mut journal, _) = Journal::open(dir.path(), "e1").unwrap();
        journal.append(&[record(1)]).unwrap();
        journal.sync().unwrap();
        let disk = std::mem::replace(&mut journal.file, open(Path::new(device)));
        journal.append(&[record(2)]).unwrap();
        assert!(matches!(journal.sync(), Err(WriteError::Failed { .. })));
        journal.file = disk;
        assert!(matches!(journal.sync(), Err(WriteError::Poisoned)));
        let refused = journal.append(&[record(3)]);
        assert!(matches!(refused, Err(WriteError::Poisoned)));
        drop(journal);
        let found = Journal::open(dir.path(), "e1").unwrap().1;
        assert_eq!(found.records, [record(1)]);
    }
}

fn open(path: &Path) -> File {
    File::options().write(true).open(path).unwrap()
}
