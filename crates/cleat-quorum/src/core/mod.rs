//! The pure consensus core: `(state, event, now) -> effects`.
//!
//! No clock, socket, thread or global random source is used inside. `now` is
//! a monotonic duration since any fixed point of this member's incarnation.

mod apply;
mod config;
mod durability;
mod election;
mod event;
mod follower;
mod formation;
mod joining;
mod leader;
mod lease;
mod log;
mod membership;
mod message;
mod progress;
mod quorum;
mod replicate;
mod status;
mod timing;
mod transfer;
mod types;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub use config::{CoreConfig, JoinConfig, Limits, MemberConfig, Protections};
pub use event::{Effect, Event, Rejection, SyncId, Write};
pub use message::{
    Ack, AckOutcome, Append, Body, Hello, InstallSnapshot, LeaseStamp, Message, VoteReply,
    VoteRequest,
};
pub use status::{CoreStatus, MemberStatus, Role};
pub use timing::Timing;
pub use types::{
    BOOTSTRAP_INDEX, Entry, HardState, LogIndex, Member, MemberId, Membership, Payload, Snapshot,
    Term,
};

use durability::{Deferred, Durability};
use formation::Formation;
use lease::MemberLease;
use log::Log;
use progress::Leadership;

/// How much longer the longest wait for another election is than the shortest.
const RETRY_SPREAD: u32 = 4;

/// What a member finds on its disk when it starts.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The identity of the disk; drawn anew for a member without one.
    pub identity: u64,
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot; none while the member belongs to no group.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The part that a member plays in the current term.
#[derive(Debug)]
enum State {
    Follower,
    PreCandidate {
        votes: BTreeSet<MemberId>,
    },
    Candidate {
        votes: BTreeSet<MemberId>,
        asked_at: Duration,
    },
    Leader(Box<Leadership>),
}

/// One member's consensus state.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    identity: u64,
    rng: StdRng,
    now: Duration,
    hard_state: HardState,
    /// The group, or 0 while the member belongs to none.
    group: u32,
    log: Log,
    commit: LogIndex,
    /// Invariant: `applied == commit` after each step.
    applied: LogIndex,
    state: State,
    leader: Option<MemberId>,
    /// Until when votes are refused because a leader may be live.
    ///
    /// Invariant: at least `election_timeout_min` after the start of this incarnation, since
    /// the member can't know which leader it heard before.
    sticky_until: Duration,
    election_due: Duration,
    durability: Durability,
    lease: MemberLease,
    /// When a learner asks for its lease anew.
    renewal_due: Duration,
    formation: Formation,
    /// Members that asked this leader to take them in.
    joiners: BTreeSet<MemberId>,
    /// The last entry for which a snapshot was asked for.
    snapshot_asked: LogIndex,
    effects: Vec<Effect>,
}

impl Core {
    /// Starts a member from what its disk holds. The caller restores the state
    /// machine from the snapshot's data, unless the snapshot is the genesis.
    pub fn new(config: CoreConfig, recovery: Recovery, now: Duration) -> Core {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let incarnation = rng.random();
        let log = Log::new(recovery.snapshot, recovery.entries);
        let commit = log.snapshot_index();
        let sticky_until = now + config.timing.election_timeout_min;
        let mut core = Core {
            identity: recovery.identity,
            rng,
            now,
            hard_state: recovery.hard_state,
            group: log.snapshot().map_or(0, |snapshot| snapshot.group),
            durability: Durability::new(log.last_index()),
            log,
            commit,
            applied: commit,
            state: State::Follower,
            leader: None,
            sticky_until,
            election_due: now,
            lease: MemberLease::new(incarnation),
            renewal_due: now,
            formation: Formation::new(now),
            joiners: BTreeSet::new(),
            snapshot_asked: 0,
            effects: Vec::new(),
            config,
        };
        if !core.is_sole_voter() {
            core.reset_election();
        }
        core
    }

    /// Takes one event and gives what has to be done, in order.
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Receive(message) => self.receive(message),
            Event::Synced(sync_id) => self.synced(sync_id),
            Event::Propose(commands) => self.propose(&commands),
            Event::Read(id) => self.read(id),
            Event::SnapshotTaken { index, data } => self.snapshot_taken(index, data),
            Event::RemoveMember(id) => self.remove(id),
            Event::TransferLeadership => self.transfer_leadership(),
            Event::ReleaseLease => self.release(),
        }
        self.renew_own_lease();
        if let Some(sync_id) = self.durability.seal(self.log.last_index()) {
            self.effects.push(Effect::Sync(sync_id));
        }
        std::mem::take(&mut self.effects)
    }

    /// When the next [`Event::Tick`] is due.
    pub fn deadline(&self) -> Duration {
        match &self.state {
            State::Leader(leadership) => leadership.heartbeat_due,
            _ if !self.is_formed() => self.formation.hello_due(),
            _ if self.asks_for_lease() => self.renewal_due.min(self.election_due),
            _ => self.election_due,
        }
    }

    fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader();
        } else if !self.is_formed() {
            self.tick_unformed();
        } else {
            self.tick_follower();
        }
    }

    fn tick_follower(&mut self) {
        if self.now >= self.election_due {
            return self.start_pre_vote();
        }
        if self.asks_for_lease() && self.now >= self.renewal_due {
            self.ask_for_lease();
        }
    }

    fn receive(&mut self, message: Message) {
        if message.to != self.config.id {
            return;
        }
        let Message {
            group,
            from,
            term,
            body,
            ..
        } = message;
        match body {
            Body::Hello(hello) => return self.on_hello(from, hello),
            Body::Bootstrap(snapshot) => return self.on_bootstrap(from, snapshot),
            Body::Join(id) => return self.on_join(from, id),
            _ => {}
        }
        if !self.is_formed() {
            self.receive_unformed(group, from, term, body);
        } else if group == self.group {
            self.receive_formed(from, term, body);
        }
    }

    fn receive_formed(&mut self, from: MemberId, term: Term, body: Body) {
        match body {
            Body::Append(append) => self.on_append(from, term, append),
            Body::InstallSnapshot(install) => self.on_install(from, term, install),
            Body::Ack(ack) => self.on_ack(from, term, &ack),
            Body::VoteRequest(req) => self.on_vote_request(from, term, &req),
            Body::VoteReply(reply) => self.on_vote_reply(from, term, &reply),
            Body::ReleaseLease(stamp) => self.on_release(from, stamp),
            Body::TimeoutNow => self.on_timeout_now(from, term),
            Body::Hello(_) | Body::Bootstrap(_) | Body::Join(_) => {}
        }
    }

    /// A member of no group only learns from a leader; it never votes.
    fn receive_unformed(&mut self, group: u32, from: MemberId, term: Term, body: Body) {
        if term < self.hard_state.term {
            return;
        }
        match body {
            Body::Append(append) => {
                self.group = group;
                self.observe_term(term);
                self.ack(from, append.round, AckOutcome::Uninitialized);
            }
            Body::InstallSnapshot(install) if install.snapshot.group == group => {
                self.group = group;
                self.on_install(from, term, install);
            }
            Body::VoteRequest(req) if !self.config.protections.identity_check => {
                self.group = group;
                self.on_vote_request(from, term, &req);
            }
            _ => {}
        }
    }

    fn synced(&mut self, sync_id: SyncId) {
        for deferred in self.durability.synced(sync_id) {
            match deferred {
                Deferred::Send(message) => self.effects.push(Effect::Send(message)),
                Deferred::Ack {
                    to,
                    round,
                    term,
                    verified,
                } => {
                    if term == self.hard_state.term {
                        self.ack_verified(to, round, verified);
                    }
                }
                Deferred::OwnVote { term } => {
                    if term == self.hard_state.term {
                        self.count_vote(self.config.id);
                    }
                }
            }
        }
        self.advance_commit();
    }

    /// Takes over a higher term; votes and roles of earlier ones are void.
    fn observe_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState {
                term,
                voted_for: None,
            });
            self.become_follower();
        }
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.durability.critical_written();
        self.write(Write::HardState(hard_state));
    }

    fn become_follower(&mut self) {
        let state = std::mem::replace(&mut self.state, State::Follower);
        self.leader = None;
        self.reset_election();
        if let State::Leader(leadership) = state {
            let rejection = Rejection::NotLeader { leader: None };
            for read in leadership.reads {
                self.effects.push(Effect::ReadRejected {
                    id: read.id,
                    rejection,
                });
            }
            self.effects.push(Effect::LostLeadership);
        }
    }

    fn reset_election(&mut self) {
        let Timing {
            election_timeout_min,
            election_timeout_max,
            lease_renewal,
            ..
        } = self.config.timing;
        let wait = self
            .rng
            .random_range(election_timeout_min..=election_timeout_max.max(election_timeout_min));
        // A learner elects nobody, and hears the leader less often.
        let learner = !self.is_voter();
        let patience = if learner {
            lease_renewal
        } else {
            Duration::ZERO
        };
        self.election_due = self.now + wait + patience;
    }

    /// Sets when to try again if the election under way fails. The leader is
    /// gone by then, so the members' leases leave no time for a full wait.
    fn retry_election(&mut self) {
        let longest = self.config.timing.election_timeout_min;
        let wait = self.rng.random_range(longest / RETRY_SPREAD..=longest);
        self.election_due = self.now + wait;
    }

    fn write(&mut self, write: Write) {
        self.durability.dirty = true;
        self.effects.push(Effect::Write(write));
    }

    fn send(&mut self, to: MemberId, body: Body) {
        let message = self.message(to, self.hard_state.term, body);
        self.effects.push(Effect::Send(message));
    }

    /// Sends once everything written so far is on the disk.
    fn send_durable(&mut self, message: Message) {
        if self.durability.is_clean() || !self.config.protections.sync_before_send {
            self.effects.push(Effect::Send(message));
        } else {
            self.durability.defer(Deferred::Send(message));
        }
    }

    fn message(&self, to: MemberId, term: Term, body: Body) -> Message {
        Message {
            group: self.group,
            from: self.config.id,
            to,
            term,
            body,
        }
    }

    /// Whether this member belongs to a group.
    fn is_formed(&self) -> bool {
        self.log.snapshot().is_some()
    }

    fn is_voter(&self) -> bool {
        let membership = self.log.membership();
        if !self.config.protections.identity_check {
            return membership
                .get(self.config.id)
                .is_some_and(|member| member.votes);
        }
        membership.is_voter(self.config.id, self.identity)
    }

    /// A group of one elects itself at once: no other leader can be live.
    fn is_sole_voter(&self) -> bool {
        if self.is_formed() {
            return self.is_voter() && self.log.membership().voters().count() == 1;
        }
        self.config.may_bootstrap() && self.config.voters().count() == 1
    }
}
