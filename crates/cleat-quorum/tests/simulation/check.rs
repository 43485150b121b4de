//! Checks of the invariants.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use cleat_quorum::{
    BOOTSTRAP_INDEX, Entry, LogIndex, MemberId, Membership, Message, Payload, Role, Term, Write,
};

use super::node::Node;
use super::{Micros, is_vote};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    TwoLeadersInTerm(Term),
    TwoLeaderLeases,
    LogsDiffer(LogIndex, Term),
    CommittedChanged(LogIndex),
    CommittedLost(LogIndex, MemberId),
    StateDiffers(LogIndex),
    AppliedTwice(LogIndex),
    /// The index that was read, and the index that was committed before the
    /// read.
    StaleRead(LogIndex, LogIndex),
    /// The member, the index that it applied, and the index that was in force.
    ServesBehind(MemberId, LogIndex, LogIndex),
    LostDiskVotes(MemberId),
    NoRecovery,
}

fn digest(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn entry_digest(entry: &Entry) -> u64 {
    match &entry.payload {
        Payload::Noop => 0,
        Payload::Command(command) => digest(command),
        Payload::Membership(membership) => digest(format!("{membership:?}")),
    }
}

/// Index of the first entry after the bootstrap snapshot.
const FIRST_INDEX: LogIndex = BOOTSTRAP_INDEX + 1;

#[derive(Default)]
pub(super) struct Checker {
    leaders: HashMap<Term, MemberId>,
    /// Every entry ever written, with its digest and the term of the entry
    /// before it.
    entries: HashMap<(LogIndex, Term), (u64, Option<Term>)>,
    committed: Vec<Term>,
    /// Membership according to the bootstrap snapshot and the committed
    /// entries.
    membership: Option<Membership>,
    states: HashMap<LogIndex, u64>,
    /// The index committed at the start of each read.
    reads: Vec<LogIndex>,
    in_force: LogIndex,
    pub(super) committed_at_faults_end: Option<LogIndex>,
}

impl Checker {
    /// Last committed index; the bootstrap snapshot if there is no committed entry.
    pub(super) fn committed(&self) -> LogIndex {
        self.committed.len() as u64 + 1
    }

    /// Whether the group has recorded another identity for this member.
    pub(super) fn has_unrecorded_identity(&self, id: MemberId, identity: u64) -> bool {
        let recorded = self.membership.as_ref().and_then(|m| m.get(id));
        recorded.is_some_and(|member| member.identity != identity)
    }

    /// Whether a bootstrap snapshot was created.
    pub(super) fn is_bootstrapped(&self) -> bool {
        self.membership.is_some()
    }

    /// Whether the group does not record the member as a voter under this
    /// identity.
    pub(super) fn is_not_voter(&self, id: MemberId, identity: u64) -> bool {
        let membership = self.membership.as_ref();
        membership.is_some_and(|membership| !membership.is_voter(id, identity))
    }

    /// Checks election safety, log matching, and that no committed entry
    /// changes.
    pub(super) fn check_node(&mut self, node: &mut Node) -> Result<(), Violation> {
        let Some(core) = &node.core else {
            return Ok(());
        };
        let (role, term, commit) = (core.role(), core.hard_state().term, core.commit_index());
        for index in node.seen_commit + 1..=commit {
            let Some(entry) = core.entry(index) else {
                continue;
            };
            let at = usize::try_from(index - FIRST_INDEX).expect("small");
            if at == self.committed.len() {
                self.committed.push(entry.term);
                if let Payload::Membership(membership) = &entry.payload {
                    self.membership = Some(membership.clone());
                }
            } else if self.committed.get(at) != Some(&entry.term) {
                return Err(Violation::CommittedChanged(index));
            }
        }
        node.seen_commit = node.seen_commit.max(commit);
        if role == Role::Leader {
            let first = *self.leaders.entry(term).or_insert(node.id);
            if first != node.id {
                return Err(Violation::TwoLeadersInTerm(term));
            }
            self.check_leader(node)?;
        }
        Ok(())
    }

    /// Checks that a leader of the latest term has every committed entry.
    fn check_leader(&self, node: &Node) -> Result<(), Violation> {
        let Some(core) = &node.core else {
            return Ok(());
        };
        let latest = self.leaders.keys().max() == Some(&core.hard_state().term);
        let index = self.committed();
        let (base, _) = core.log_bounds();
        let holds = index <= base || core.term_at(index) == self.committed.last().copied();
        if latest && !holds {
            return Err(Violation::CommittedLost(index, node.id));
        }
        Ok(())
    }

    pub(super) fn check_write(&mut self, node: &Node, write: &Write) -> Result<(), Violation> {
        if let Write::Snapshot(snapshot) = write
            && snapshot.index == BOOTSTRAP_INDEX
            && self.committed.is_empty()
        {
            self.membership = Some(snapshot.membership.clone());
        }
        let (Write::Append(entries), Some(core)) = (write, &node.core) else {
            return Ok(());
        };
        for entry in entries {
            let seen = (entry_digest(entry), core.term_at(entry.index - 1));
            let first = *self
                .entries
                .entry((entry.index, entry.term))
                .or_insert(seen);
            if first != seen {
                let Entry { index, term, .. } = *entry;
                return Err(Violation::LogsDiffer(index, term));
            }
        }
        Ok(())
    }

    pub(super) fn check_send(&self, node: &Node, message: &Message) -> Result<(), Violation> {
        let identity = node.core.as_ref().map_or(0, |core| core.identity());
        let unrecorded = self.has_unrecorded_identity(node.id, identity);
        if is_vote(&message.body) && unrecorded {
            return Err(Violation::LostDiskVotes(node.id));
        }
        Ok(())
    }

    pub(super) fn check_apply(
        &mut self,
        node: &mut Node,
        index: LogIndex,
        command: &[u8],
    ) -> Result<(), Violation> {
        if index <= node.state_machine.1 {
            return Err(Violation::AppliedTwice(index));
        }
        node.apply(index, command);
        let state = node.state_machine.0;
        if *self.states.entry(index).or_insert(state) != state {
            return Err(Violation::StateDiffers(index));
        }
        Ok(())
    }

    pub(super) fn start_read(&mut self) -> u64 {
        self.reads.push(self.committed());
        self.reads.len() as u64 - 1
    }

    pub(super) fn check_read(&self, id: u64, index: LogIndex) -> Result<(), Violation> {
        let committed = self.reads[usize::try_from(id).expect("small")];
        if index < committed {
            return Err(Violation::StaleRead(index, committed));
        }
        Ok(())
    }

    /// Checks that no member, paused or not, serves a state that lacks an entry
    /// reported as in force.
    pub(super) fn check_leases(&mut self, nodes: &[Node], now: Micros) -> Result<(), Violation> {
        let mut confirmed = 0;
        for node in nodes.iter().filter(|node| !node.paused) {
            let Some(core) = &node.core else {
                continue;
            };
            let local = node.local_time(now);
            let commit = core.commit_index();
            confirmed += u32::from(core.holds_leader_lease_at(local));
            if commit > self.in_force && core.in_force(commit, local) {
                self.in_force = commit;
            }
        }
        if confirmed > 1 {
            return Err(Violation::TwoLeaderLeases);
        }
        for node in nodes {
            let Some(core) = &node.core else {
                continue;
            };
            let applied = core.applied_index();
            if applied < self.in_force && core.in_service(node.local_time(now)) {
                return Err(Violation::ServesBehind(node.id, applied, self.in_force));
            }
        }
        Ok(())
    }
}
