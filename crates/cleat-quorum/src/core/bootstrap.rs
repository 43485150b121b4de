//! Bootstrap of a group by voters with empty disks.
//!
//! Each uninitialized voter sends a hello to all configured voters. The voter
//! with the lowest id creates the bootstrap snapshot once every other voter has
//! replied, to the current identity of its disk, that it is uninitialized.
//!
//! A voter accepts at most one bootstrap snapshot, and only one that names its
//! own identity. Therefore two bootstrap snapshots can't both reach a majority,
//! and a voter that lost its disk can't bootstrap a second group.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;

use super::Core;
use super::event::Write;
use super::message::{Body, Hello};
use super::types::{BOOTSTRAP_INDEX, Member, MemberId, Membership, Snapshot};

/// What an uninitialized voter knows about the other voters.
#[derive(Debug)]
pub(crate) struct BootstrapState {
    hello_due: Duration,
    /// Latest disk identity received from each voter.
    identities: IndexMap<MemberId, u64>,
    /// Disk identity of each voter that replied that it is uninitialized.
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

    /// Forwards the bootstrap snapshot, so that its creator may fail after
    /// delivering it once.
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
        // The other voters receive the bootstrap snapshot in reply to their
        // next hello.
        let others_initialized_at = self.now + self.config.timing.heartbeat_interval * 2;
        self.election_deadline = self.election_deadline.min(others_initialized_at);
    }

    /// Membership of all configured members, once every other voter is known to
    /// be uninitialized.
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
        // Ignore the bootstrap snapshot if its sender has lost the disk that it
        // names.
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
        // An uninitialized member acknowledges no leader lease, so no leader
        // relies on it to reject votes.
        self.reject_votes_until = self.now;
        if self.is_sole_voter() {
            self.start_pre_vote();
        } else {
            self.reset_election_timeout();
        }
    }
}
