//! Callers that wait for a command, a read or an entry.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use super::error::{InForceError, ProposeError};
use super::replica::Applied;
use super::request::{InForceWait, Proposal, Reply};
use crate::core::{Core, LogIndex, Role, Term};

struct PendingProposal {
    index: LogIndex,
    term: Term,
    reply: Reply<Applied, ProposeError>,
}

#[derive(Default)]
pub(crate) struct Waiters {
    /// Invariant: in ascending order of index, all of the term that this member
    /// leads.
    proposals: VecDeque<PendingProposal>,
    reads: IndexMap<u64, Reply<u64, ProposeError>>,
    last_read_id: u64,
    in_force: Vec<InForceWait>,
}

impl Waiters {
    pub(crate) fn add_proposals(&mut self, first: LogIndex, term: Term, proposals: Vec<Proposal>) {
        for (index, proposal) in (first..).zip(proposals) {
            let reply = proposal.reply;
            self.proposals
                .push_back(PendingProposal { index, term, reply });
        }
    }

    pub(crate) fn complete_proposal(&mut self, index: LogIndex, term: Term, response: Box<[u8]>) {
        let due = |pending: &mut PendingProposal| pending.index <= index;
        let Some(pending) = self.proposals.pop_front_if(due) else {
            return;
        };
        let own = pending.index == index && pending.term == term;
        let result = if own {
            Ok(Applied { index, response })
        } else {
            Err(ProposeError::OutcomeUnknown)
        };
        // The caller may be gone; the command is applied anyway.
        let _ = pending.reply.send(result);
    }

    pub(crate) fn fail_proposals(&mut self) {
        for pending in self.proposals.drain(..) {
            let _ = pending.reply.send(Err(ProposeError::OutcomeUnknown));
        }
    }

    pub(crate) fn add_read(&mut self, reply: Reply<u64, ProposeError>) -> u64 {
        self.last_read_id += 1;
        self.reads.insert(self.last_read_id, reply);
        self.last_read_id
    }

    pub(crate) fn finish_read(&mut self, id: u64, result: Result<u64, ProposeError>) {
        if let Some(reply) = self.reads.swap_remove(&id) {
            let _ = reply.send(result);
        }
    }

    pub(crate) fn add_in_force(&mut self, wait: InForceWait) {
        self.in_force.push(wait);
    }

    /// Earliest deadline among the callers that wait for an entry to be in
    /// force.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.in_force.iter().map(|wait| wait.deadline).min()
    }

    /// Completes the waits whose entry is in force or whose deadline has
    /// passed, and all waits if this member is not the leader. `core_now` is
    /// the core's time.
    pub(crate) fn check_in_force(&mut self, core: &Core, core_now: Duration, now: Instant) {
        let leads = core.role() == Role::Leader;
        for wait in std::mem::take(&mut self.in_force) {
            let result = if !leads {
                let leader = core.status().leader;
                Err(InForceError::NotLeader { leader })
            } else if core.in_force(wait.index, core_now) {
                Ok(())
            } else if now >= wait.deadline {
                let members_behind = core.members_behind(wait.index, core_now);
                Err(InForceError::Timeout { members_behind })
            } else {
                self.in_force.push(wait);
                continue;
            };
            let _ = wait.reply.send(result);
        }
    }

    /// Rejects all waiting callers when the task ends.
    pub(crate) fn reject_all(&mut self) {
        self.fail_proposals();
        for (_, reply) in self.reads.drain(..) {
            let _ = reply.send(Err(ProposeError::Stopped));
        }
        for wait in self.in_force.drain(..) {
            let _ = wait.reply.send(Err(InForceError::Stopped));
        }
    }
}
