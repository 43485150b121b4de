//! How voters with empty disks found a group.
//!
//! Each unformed voter asks all configured voters who they are. The one with
//! the lowest id makes the genesis once every voter has answered it, in this
//! life of its disk, that it belongs to no group. A voter accepts one genesis
//! at most, and only one that names its own identity; so two of them can't
//! both gain a majority, and a voter that lost its disk can't found a second.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;

use super::Core;
use super::event::Write;
use super::message::{Body, Hello};
use super::types::{GENESIS_INDEX, Image, Member, MemberId, Membership};

/// What an unformed voter knows of the others.
#[derive(Debug)]
pub(crate) struct Formation {
    hello_due: Duration,
    /// The latest identity heard of each voter.
    heard: IndexMap<MemberId, u64>,
    /// The identity of each voter that answered that it is unformed.
    fresh: IndexMap<MemberId, u64>,
}

impl Formation {
    pub(crate) fn new(now: Duration) -> Formation {
        Formation {
            hello_due: now,
            heard: IndexMap::new(),
            fresh: IndexMap::new(),
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
        self.formation.hello_due = self.now + self.config.timing.heartbeat;
        if !self.config.may_found() {
            return self.ask_to_join();
        }
        let own = self.config.id;
        let others: Vec<MemberId> = self.config.voters().filter(|id| *id != own).collect();
        let hello = Hello {
            identity: self.identity,
            fresh: true,
            answering: None,
        };
        for voter in others {
            self.send(voter, Body::Hello(hello));
        }
        self.form_group();
    }

    pub(super) fn on_hello(&mut self, from: MemberId, hello: Hello) {
        self.formation.heard.insert(from, hello.identity);
        match hello.answering {
            None => self.answer_hello(from, hello),
            Some(asked) if asked == self.identity => self.hear_answer(from, hello),
            Some(_) => {}
        }
    }

    fn answer_hello(&mut self, from: MemberId, hello: Hello) {
        let fresh = !self.is_formed() && self.config.may_found();
        let answer = Hello {
            identity: self.identity,
            fresh,
            answering: Some(hello.identity),
        };
        let message = self.message(from, self.hard_state.term, Body::Hello(answer));
        self.send_durable(message);
        self.relay_genesis(from, hello.identity);
    }

    /// Passes the genesis on, so that its maker may fail after one delivery.
    fn relay_genesis(&mut self, to: MemberId, identity: u64) {
        let Some(image) = self.log.image() else {
            return;
        };
        if image.index == GENESIS_INDEX && image.membership.is_voter(to, identity) {
            let body = Body::Genesis((**image).clone());
            let message = self.message(to, self.hard_state.term, body);
            self.send_durable(message);
        }
    }

    fn hear_answer(&mut self, from: MemberId, answer: Hello) {
        if answer.fresh {
            self.formation.fresh.insert(from, answer.identity);
        } else {
            self.formation.fresh.shift_remove(&from);
        }
        self.form_group();
    }

    fn form_group(&mut self) {
        let lowest = self.config.voters().min();
        if self.is_formed() || !self.config.may_found() || lowest != Some(self.config.id) {
            return;
        }
        let Some(membership) = self.founding_membership() else {
            return;
        };
        let group = self.rng.random::<u32>().max(1);
        let data = Arc::from([]);
        self.accept_genesis(Image {
            index: GENESIS_INDEX,
            term: 0,
            group,
            membership,
            data,
        });
        // The others learn of the group with their next hello.
        let others_know = self.now + self.config.timing.heartbeat * 2;
        self.election_due = self.election_due.min(others_know);
    }

    /// All configured members, once each voter is known to be unformed.
    fn founding_membership(&self) -> Option<Membership> {
        let mut members = Vec::new();
        for configured in &self.config.members {
            let identity = if configured.id == self.config.id {
                self.identity
            } else if configured.votes {
                *self.formation.fresh.get(&configured.id)?
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

    pub(super) fn on_genesis(&mut self, from: MemberId, image: Image) {
        let own = image.membership.is_voter(self.config.id, self.identity);
        if self.is_formed() || !own || image.index != GENESIS_INDEX {
            return;
        }
        // A genesis from a disk that its sender has lost by now founds nothing.
        let heard = self.formation.heard.get(&from).copied();
        let sender = image.membership.get(from).map(|member| member.identity);
        if heard.is_some() && heard != sender {
            return;
        }
        self.accept_genesis(image);
    }

    fn accept_genesis(&mut self, image: Image) {
        let image = Arc::new(image);
        self.group = image.group;
        self.durability.critical_written();
        self.write(Write::Snapshot(image.clone()));
        self.commit = image.index;
        self.applied = image.index;
        self.log.install(image);
        // An unformed member has confirmed no leader, so none relies on it.
        self.sticky_until = self.now;
        if self.is_sole_voter() {
            self.start_pre_vote();
        } else {
            self.reset_election();
        }
    }
}
