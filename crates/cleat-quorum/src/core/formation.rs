//! How voters with empty disks found a group.
//!
//! Each unformed voter asks all configured voters who they are. The one with
//! the lowest id makes the genesis once every voter has answered it, in this
//! incarnation of its disk, that it belongs to no group. A voter accepts one genesis
//! at most, and only one that names its own identity; so two of them can't
//! both gain a majority, and a voter that lost its disk can't found a second.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;

use super::Core;
use super::event::Write;
use super::message::{Body, Hello};
use super::types::{BOOTSTRAP_INDEX, Member, MemberId, Membership, Snapshot};

/// What an unformed voter knows of the others.
#[derive(Debug)]
pub(crate) struct Formation {
    hello_due: Duration,
    /// The latest identity heard of each voter.
    heard: IndexMap<MemberId, u64>,
    /// The identity of each voter that answered that it is unformed.
    uninitialized: IndexMap<MemberId, u64>,
}

impl Formation {
    pub(crate) fn new(now: Duration) -> Formation {
        Formation {
            hello_due: now,
            heard: IndexMap::new(),
            uninitialized: IndexMap::new(),
        }
    }

    pub(crate) fn hello_due(&self) -> Duration {
        self.hello_due
    }
}

impl Core {
    pub(super) fn tick_unformed(&mut self) {
        if self.now < self.formation.hello_due {
            return;
        }
        self.formation.hello_due = self.now + self.config.timing.heartbeat_interval;
        if !self.config.may_bootstrap() {
            return self.ask_to_join();
        }
        let own = self.config.id;
        let others: Vec<MemberId> = self.config.voters().filter(|id| *id != own).collect();
        let hello = Hello {
            identity: self.identity,
            uninitialized: true,
            in_reply_to: None,
        };
        for voter in others {
            self.send(voter, Body::Hello(hello));
        }
        self.form_group();
    }

    pub(super) fn on_hello(&mut self, from: MemberId, hello: Hello) {
        self.formation.heard.insert(from, hello.identity);
        match hello.in_reply_to {
            None => self.answer_hello(from, hello),
            Some(asked) if asked == self.identity => self.hear_answer(from, hello),
            Some(_) => {}
        }
    }

    fn answer_hello(&mut self, from: MemberId, hello: Hello) {
        let uninitialized = !self.is_formed() && self.config.may_bootstrap();
        let answer = Hello {
            identity: self.identity,
            uninitialized,
            in_reply_to: Some(hello.identity),
        };
        let message = self.message(from, self.hard_state.term, Body::Hello(answer));
        self.send_durable(message);
        self.relay_bootstrap(from, hello.identity);
    }

    /// Passes the genesis on, so that its maker may fail after one delivery.
    fn relay_bootstrap(&mut self, to: MemberId, identity: u64) {
        let Some(snapshot) = self.log.snapshot() else {
            return;
        };
        if snapshot.index == BOOTSTRAP_INDEX && snapshot.membership.is_voter(to, identity) {
            let body = Body::Bootstrap((**snapshot).clone());
            let message = self.message(to, self.hard_state.term, body);
            self.send_durable(message);
        }
    }

    fn hear_answer(&mut self, from: MemberId, answer: Hello) {
        if answer.uninitialized {
            self.formation.uninitialized.insert(from, answer.identity);
        } else {
            self.formation.uninitialized.shift_remove(&from);
        }
        self.form_group();
    }

    fn form_group(&mut self) {
        let lowest = self.config.voters().min();
        if self.is_formed() || !self.config.may_bootstrap() || lowest != Some(self.config.id) {
            return;
        }
        let Some(membership) = self.founding_membership() else {
            return;
        };
        let group = self.rng.random::<u32>().max(1);
        let data = Arc::from([]);
        self.install_bootstrap(Snapshot {
            index: BOOTSTRAP_INDEX,
            term: 0,
            group,
            membership,
            data,
        });
        // The others learn of the group with their next hello.
        let others_know = self.now + self.config.timing.heartbeat_interval * 2;
        self.election_due = self.election_due.min(others_know);
    }

    /// All configured members, once each voter is known to be unformed.
    fn founding_membership(&self) -> Option<Membership> {
        let mut members = Vec::new();
        for configured in &self.config.members {
            let identity = if configured.id == self.config.id {
                self.identity
            } else if configured.votes {
                *self.formation.uninitialized.get(&configured.id)?
            } else {
                0
            };
            members.push(Member {
                id: configured.id,
                identity,
                votes: configured.votes,
            });
        }
        Some(Membership {
            members,
            retired: Vec::new(),
        })
    }

    pub(super) fn on_bootstrap(&mut self, from: MemberId, snapshot: Snapshot) {
        let own = snapshot.membership.is_voter(self.config.id, self.identity);
        if self.is_formed() || !own || snapshot.index != BOOTSTRAP_INDEX {
            return;
        }
        // A genesis from a disk that its sender has lost by now founds nothing.
        let heard = self.formation.heard.get(&from).copied();
        let sender = snapshot.membership.get(from).map(|member| member.identity);
        if heard.is_some() && heard != sender {
            return;
        }
        self.install_bootstrap(snapshot);
    }

    fn install_bootstrap(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.group = snapshot.group;
        self.durability.critical_written();
        self.write(Write::Snapshot(snapshot.clone()));
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(snapshot);
        // An unformed member has confirmed no leader, so none relies on it.
        self.sticky_until = self.now;
        if self.is_sole_voter() {
            self.start_pre_vote();
        } else {
            self.reset_election();
        }
    }
}
