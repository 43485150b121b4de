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
pub(crate) struct BootstrapState {
    hello_due: Duration,
    /// The latest identity heard of each voter.
    identities: IndexMap<MemberId, u64>,
    /// The identity of each voter that answered that it is unformed.
    uninitialized: IndexMap<MemberId, u64>,
}

impl BootstrapState {
    pub(crate) fn new(now: Duration) -> BootstrapState {
        BootstrapState {
            hello_due: now,
            identities: IndexMap::new(),
            uninitialized: IndexMap::new(),
        }
    }

    pub(crate) fn hello_due(&self) -> Duration {
        self.hello_due
    }
}

impl Core {
    pub(super) fn tick_uninitialized(&mut self) {
        if self.now < self.bootstrap.hello_due {
            return;
        }
        self.bootstrap.hello_due = self.now + self.config.timing.heartbeat_interval;
        if !self.config.may_bootstrap() {
            return self.request_join();
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
        self.try_bootstrap();
    }

    pub(super) fn on_hello(&mut self, from: MemberId, hello: Hello) {
        self.bootstrap.identities.insert(from, hello.identity);
        match hello.in_reply_to {
            None => self.reply_to_hello(from, hello),
            Some(identity) if identity == self.identity => self.record_hello_reply(from, hello),
            Some(_) => {}
        }
    }

    fn reply_to_hello(&mut self, from: MemberId, hello: Hello) {
        let uninitialized = !self.is_initialized() && self.config.may_bootstrap();
        let reply = Hello {
            identity: self.identity,
            uninitialized,
            in_reply_to: Some(hello.identity),
        };
        let message = self.message(from, self.hard_state.term, Body::Hello(reply));
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

    fn record_hello_reply(&mut self, from: MemberId, reply: Hello) {
        if reply.uninitialized {
            self.bootstrap.uninitialized.insert(from, reply.identity);
        } else {
            self.bootstrap.uninitialized.shift_remove(&from);
        }
        self.try_bootstrap();
    }

    fn try_bootstrap(&mut self) {
        let lowest = self.config.voters().min();
        if self.is_initialized() || !self.config.may_bootstrap() || lowest != Some(self.config.id) {
            return;
        }
        let Some(membership) = self.initial_membership() else {
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
        let others_initialized_at = self.now + self.config.timing.heartbeat_interval * 2;
        self.election_deadline = self.election_deadline.min(others_initialized_at);
    }

    /// All configured members, once each voter is known to be unformed.
    fn initial_membership(&self) -> Option<Membership> {
        let mut members = Vec::new();
        for configured in &self.config.members {
            let identity = if configured.id == self.config.id {
                self.identity
            } else if configured.votes {
                *self.bootstrap.uninitialized.get(&configured.id)?
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
        if self.is_initialized() || !own || snapshot.index != BOOTSTRAP_INDEX {
            return;
        }
        // A genesis from a disk that its sender has lost by now founds nothing.
        let heard = self.bootstrap.identities.get(&from).copied();
        let sender = snapshot.membership.get(from).map(|member| member.identity);
        if heard.is_some() && heard != sender {
            return;
        }
        self.install_bootstrap(snapshot);
    }

    fn install_bootstrap(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.group = snapshot.group;
        self.durability.mark_critical_write();
        self.write(Write::Snapshot(snapshot.clone()));
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.log.install(snapshot);
        // An unformed member has confirmed no leader, so none relies on it.
        self.reject_votes_until = self.now;
        if self.is_sole_voter() {
            self.start_pre_vote();
        } else {
            self.reset_election_timeout();
        }
    }
}
