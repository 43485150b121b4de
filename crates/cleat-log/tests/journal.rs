//! What is synced is found again.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

mod scaffold;

use cleat_log::{HardState, Journal, MAX_PAYLOAD_BYTES, Record, Snapshot, WriteError};
use proptest::prelude::*;
use scaffold::{OWNER, five, open, record, recover, snapshot, vote};
use tempfile::tempdir;

#[test]
fn open_finds_records_vote_and_identity() {
    let dir = tempdir().unwrap();
    let folder = dir.path().join("deep/data");
    let first = recover(&folder);
    assert!(first.fresh);
    let mut journal = five(&folder);
    journal.truncate_from(4).unwrap();
    journal.append(&[record(4, 2)]).unwrap();
    journal.set_hard_state(vote(2, 7)).unwrap();
    journal.sync().unwrap();
    journal.append(&[record(5, 2)]).unwrap(); // never synced
    drop(journal);
    let found = recover(&folder);
    assert!(!found.fresh);
    assert_eq!(found.identity, first.identity);
    assert_eq!(found.hard_state, vote(2, 7));
    let wanted = [record(1, 1), record(2, 1), record(3, 1), record(4, 2)];
    assert_eq!(found.records, wanted);
}

#[test]
fn append_refuses_what_breaks_the_log() {
    let dir = tempdir().unwrap();
    let mut journal = five(dir.path());
    let gap = journal.append(&[record(7, 1)]);
    assert!(matches!(
        gap,
        Err(WriteError::OutOfOrder { expected: 6, .. })
    ));
    let payload = vec![0; MAX_PAYLOAD_BYTES + 1].into();
    let large = Record {
        payload,
        ..record(6, 1)
    };
    let large = journal.append(&[large]);
    assert!(matches!(large, Err(WriteError::TooLarge { .. })));
    let other_vote = journal.set_hard_state(vote(1, 3));
    assert!(matches!(other_vote, Err(WriteError::VoteReverts)));
    let old_term = journal.set_hard_state(HardState::default());
    assert!(matches!(old_term, Err(WriteError::VoteReverts)));
    journal.save_snapshot(&snapshot(3, 1)).unwrap();
    let inside = journal.truncate_from(3);
    assert!(matches!(
        inside,
        Err(WriteError::OutOfOrder { expected: 4, .. })
    ));
    let older = journal.save_snapshot(&snapshot(3, 1));
    assert!(matches!(
        older,
        Err(WriteError::OutOfOrder { expected: 4, .. })
    ));
    journal.append(&[record(6, 1)]).unwrap();
    journal.sync().unwrap();
    drop(journal);
    let found = recover(dir.path());
    assert_eq!(found.records, [record(4, 1), record(5, 1), record(6, 1)]);
    assert_eq!(found.snapshot, Some(snapshot(3, 1)));
}

#[test]
fn save_snapshot_drops_records_that_do_not_continue_it() {
    for (index, term) in [(3, 2), (9, 1)] {
        let dir = tempdir().unwrap();
        let mut journal = five(dir.path());
        journal.save_snapshot(&snapshot(index, term)).unwrap();
        journal.append(&[record(index + 1, 3)]).unwrap();
        journal.sync().unwrap();
        drop(journal);
        let found = recover(dir.path());
        assert_eq!(found.records, [record(index + 1, 3)]);
        assert_eq!(found.hard_state, vote(1, 2));
    }
}

#[derive(Debug, Clone)]
enum Op {
    Append(u8),
    Truncate(u8),
    Vote(u32),
    Sync,
    Snapshot(u8),
    Reopen,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..9u8).prop_map(Op::Append),
        1 => (0..9u8).prop_map(Op::Truncate),
        1 => (0..9u32).prop_map(Op::Vote),
        2 => Just(Op::Sync),
        1 => (0..9u8).prop_map(Op::Snapshot),
        1 => Just(Op::Reopen),
    ]
}

#[derive(Debug, Clone, Default)]
struct Model {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    records: Vec<Record>,
}

impl Model {
    fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    fn run(&mut self, synced: &mut Model, journal: &mut Journal, op: &Op) {
        let term = self.hard_state.term;
        match *op {
            Op::Append(count) => {
                let next = self.base() + self.records.len() as u64 + 1;
                let new = (next..next + u64::from(count)).map(|index| record(index, term));
                let new: Vec<Record> = new.collect();
                journal.append(&new).unwrap();
                self.records.extend(new);
            }
            Op::Truncate(at) => {
                let index = self.base() + u64::from(at) + 1;
                journal.truncate_from(index).unwrap();
                self.records.truncate(at.into());
            }
            Op::Vote(for_whom) => {
                self.hard_state = vote(term + 1, for_whom);
                journal.set_hard_state(self.hard_state).unwrap();
            }
            Op::Sync => {
                journal.sync().unwrap();
                *synced = self.clone();
            }
            Op::Snapshot(at) => {
                let Some(record) = self.records.get(usize::from(at)) else {
                    return;
                };
                let taken = snapshot(record.index, record.term);
                journal.save_snapshot(&taken).unwrap();
                self.records.drain(..=usize::from(at));
                self.snapshot = Some(taken);
                *synced = self.clone();
            }
            Op::Reopen => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn open_equals_last_sync(ops in prop::collection::vec(op(), 1..60)) {
        let dir = tempdir().unwrap();
        let open = || Journal::open_with(dir.path(), OWNER, 300).unwrap();
        let mut journal = open().0;
        let (mut model, mut synced) = (Model::default(), Model::default());
        for op in ops.iter().chain([&Op::Reopen]) {
            if !matches!(op, Op::Reopen) {
                model.run(&mut synced, &mut journal, op);
                continue;
            }
            drop(journal);
            let (reopened, found) = open();
            journal = reopened;
            model = synced.clone();
            prop_assert_eq!(found.hard_state, model.hard_state);
            prop_assert_eq!(&found.snapshot, &model.snapshot);
            prop_assert_eq!(&found.records, &model.records);
        }
    }
}

#[test]
fn open_twice_is_refused() {
    let dir = tempdir().unwrap();
    let held = five(dir.path());
    let second = open(dir.path());
    assert!(matches!(second, Err(cleat_log::OpenError::Locked { .. })));
    drop(held);
    assert_eq!(recover(dir.path()).records.len(), 5);
}
