//! Recovered state for members of an existing group.

use std::sync::Arc;

use cleat_quorum::{
    BOOTSTRAP_INDEX, Entry, HardState, Member, MemberId, Membership, Payload, Recovery, Snapshot,
    Term,
};

/// Identifier of the recovered group.
pub(crate) const GROUP: u32 = 7;

pub(crate) fn identity(id: u32) -> u64 {
    1000 + u64::from(id)
}

/// Sets the recovered state to that of an existing group, with no-op entries of
/// `terms` after the bootstrap snapshot.
pub(crate) fn recover(recovery: &mut Recovery, voters: u32, term: Term, terms: &[Term]) {
    let member = |id| Member {
        id: MemberId(id),
        identity: identity(id),
        votes: true,
    };
    let membership = Membership {
        members: (0..voters).map(member).collect(),
        retired: Vec::new(),
    };
    let data = Arc::from([]);
    let snapshot = Snapshot {
        index: BOOTSTRAP_INDEX,
        term: 0,
        group: GROUP,
        membership,
        data,
    };
    recovery.snapshot = Some(Arc::new(snapshot));
    recovery.hard_state = HardState {
        term,
        voted_for: None,
    };
    let entries = (BOOTSTRAP_INDEX + 1..).zip(terms);
    recovery.entries = entries
        .map(|(index, term)| Entry {
            index,
            term: *term,
            payload: Payload::Noop,
        })
        .collect();
}
