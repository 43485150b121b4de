//! The callers who wait for their command, read or entry.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use super::error::{InForceError, ProposeError};
use super::replica::Applied;
use super::request::{InForceWait, Proposal, Reply};
use crate::core::{Core, LogIndex, Role, Term};

struct Pending {
    index: LogIndex,
    term: Term,
    reply: Reply<Applied, ProposeError>,
}

#[derive(Default)]
pub(crate) struct Waiters {
    /// Invariant: ascending by index, all of the term that this member leads.
    proposals: VecDeque<Pending>,
    reads: IndexMap<u64, Reply<u64, ProposeError>>,
    next_read: u64,
    in_force: Vec<InForceWait>,
}

impl Waiters {
    pub(crate) fn accepted(&mut self, first: LogIndex, term: Term, proposals: Vec<Proposal>) {
        for (index, proposal) in (first..).zip(proposals) {
            let reply = proposal.reply;
            self.proposals.push_back(Pending { index, term, reply });
        }
    }

    pub(crate) fn applied(&mut self, index: LogIndex, term: Term, response: Box<[u8]>) {
        let due = |pending: &mut Pending| pending.index <= index;
        let Some(pending) = self.proposals.pop_front_if(due) else {
            return;
        };
        let own = pending.index == index && pending.term == term;
        let result = if own {
            Ok(Applied { index, response })
        } else {
            Err(ProposeError::OutcomeUnknown)
        };
        // The caller may have gone; the command is applied all the same.
        let _ = pending.reply.send(result);
    }

    pub(crate) fn lost_leadership(&mut self) {
        for pending in self.proposals.drain(..) {
            let _ = pending.reply.send(Err(ProposeError::OutcomeUnknown));
        }
    }

    pub(crate) fn add_read(&mut self, reply: Reply<u64, ProposeError>) -> u64 {
        self.next_read += 1;
        self.reads.insert(self.next_read, reply);
        self.next_read
    }

    pub(crate) fn finish_read(&mut self, id: u64, result: Result<u64, ProposeError>) {
        if let Some(reply) = self.reads.swap_remove(&id) {
            let _ = reply.send(result);
        }
    }

    pub(crate) fn add_in_force(&mut self, wait: InForceWait) {
        self.in_force.push(wait);
    }

    /// The earliest deadline of those who wait for an entry to be in force.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.in_force.iter().map(|wait| wait.deadline).min()
    }

    /// Answers those whose entry is in force, whose time is over, or who ask
    /// a member that does not lead. `local` is the core's time.
    pub(crate) fn check_in_force(&mut self, core: &Core, local: Duration, now: Instant) {
        let leads = core.role() == Role::Leader;
        for wait in std::mem::take(&mut self.in_force) {
            let result = if !leads {
                let leader = core.status().leader;
                Err(InForceError::NotLeader { leader })
            } else if core.in_force(wait.index, local) {
                Ok(())
            } else if now >= wait.deadline {
                let members_behind = core.members_behind(wait.index, local);
                Err(InForceError::Timeout { members_behind })
            } else {
                self.in_force.push(wait);
                continue;
            };
            let _ = wait.reply.send(result);
        }
    }

    /// Answers everyone at the end of the task.
    pub(crate) fn stop(&mut self) {
        self.lost_leadership();
        for (_, reply) in self.reads.drain(..) {
            let _ = reply.send(Err(ProposeError::Stopped));
        }
        for wait in self.in_force.drain(..) {
            let _ = wait.reply.send(Err(InForceError::Stopped));
        }
    }
}
