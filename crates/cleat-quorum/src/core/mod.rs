//! The consensus core: a deterministic function of state, event and time that
//! returns effects.
//!
//! The core uses no clock, socket, thread or global random source. `now` is a
//! monotonic duration whose origin is fixed for one incarnation (one run of the
//! process) of this member.

mod apply;
mod bootstrap;
mod config;
mod durability;
mod election;
mod event;
mod follower;
mod join;
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

use bootstrap::BootstrapState;
use durability::{Deferred, Durability};
use lease::OwnLease;
use log::Log;
use progress::LeaderState;

/// Ratio of the longest delay before an election retry to the shortest.
const ELECTION_RETRY_SPREAD: u32 = 4;

/// State that a member reads from its disk at startup.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Identity of the disk. A member without a disk draws a new one at each
    /// start.
    pub identity: u64,
    /// Current term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; `None` if the member is uninitialized (belongs to no
    /// group).
    pub snapshot: Option<Arc<Snapshot>>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Role-specific state in the current term.
#[derive(Debug)]
enum State {
    Follower,
    PreCandidate {
        votes: BTreeSet<MemberId>,
    },
    Candidate {
        votes: BTreeSet<MemberId>,
        requested_at: Duration,
    },
    Leader(Box<LeaderState>),
}

/// Consensus state of one member.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    identity: u64,
    rng: StdRng,
    now: Duration,
    hard_state: HardState,
    /// Identifier of the group, or 0 while the member is uninitialized.
    group: u32,
    log: Log,
    commit: LogIndex,
    /// Invariant: equal to `commit` after each step.
    applied: LogIndex,
    state: State,
    leader: Option<MemberId>,
    /// Time until which vote requests are rejected because a leader may be
    /// live.
    ///
    /// Invariant: at least `election_timeout_min` after this incarnation
    /// started. A restarted member doesn't know when it last heard from a
    /// leader, so it assumes the latest possible time.
    reject_votes_until: Duration,
    election_deadline: Duration,
    durability: Durability,
    lease: OwnLease,
    /// When this learner next requests a renewal of its lease.
    renewal_due: Duration,
    bootstrap: BootstrapState,
    /// Members that asked this leader to add them to the group.
    joiners: BTreeSet<MemberId>,
    /// Index at which the last snapshot was requested from the state machine.
    requested_snapshot_index: LogIndex,
    effects: Vec<Effect>,
}

impl Core {
    /// Creates a member from its recovered state. The caller restores the state
    /// machine from the snapshot, unless that is the bootstrap snapshot.
    pub fn new(config: CoreConfig, recovery: Recovery, now: Duration) -> Core {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let incarnation = rng.random();
        let log = Log::new(recovery.snapshot, recovery.entries);
        let commit = log.snapshot_index();
        let reject_votes_until = now + config.timing.election_timeout_min;
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
            reject_votes_until,
            election_deadline: now,
            lease: OwnLease::new(incarnation),
            renewal_due: now,
            bootstrap: BootstrapState::new(now),
            joiners: BTreeSet::new(),
            requested_snapshot_index: 0,
            effects: Vec::new(),
            config,
        };
        if !core.is_sole_voter() {
            core.reset_election_timeout();
        }
        core
    }

    /// Processes one event and returns the resulting effects in execution
    /// order.
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Receive(message) => self.receive(message),
            Event::Synced(sync_id) => self.on_synced(sync_id),
            Event::Propose(commands) => self.propose(&commands),
            Event::Read(id) => self.start_read(id),
            Event::SnapshotTaken { index, data } => self.on_snapshot_taken(index, data),
            Event::RemoveMember(id) => self.remove_member(id),
            Event::TransferLeadership => self.transfer_leadership(),
            Event::ReleaseLease => self.release_lease(),
        }
        self.renew_own_lease();
        if let Some(sync_id) = self.durability.finish_step(self.log.last_index()) {
            self.effects.push(Effect::Sync(sync_id));
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn deadline(&self) -> Duration {
        match &self.state {
            State::Leader(leader_state) => leader_state.heartbeat_due,
            _ if !self.is_initialized() => self.bootstrap.hello_due(),
            _ if self.requests_lease_renewal() => self.renewal_due.min(self.election_deadline),
            _ => self.election_deadline,
        }
    }

    fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader();
        } else if !self.is_initialized() {
            self.tick_uninitialized();
        } else {
            self.tick_follower();
        }
    }

    fn tick_follower(&mut self) {
        if self.now >= self.election_deadline {
            return self.start_pre_vote();
        }
        if self.requests_lease_renewal() && self.now >= self.renewal_due {
            self.request_lease_renewal();
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
        if !self.is_initialized() {
            self.receive_uninitialized(group, from, term, body);
        } else if group == self.group {
            self.receive_initialized(from, term, body);
        }
    }

    fn receive_initialized(&mut self, from: MemberId, term: Term, body: Body) {
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

    /// Handles messages while this member is uninitialized. It accepts entries
    /// and snapshots from a leader, but never votes.
    fn receive_uninitialized(&mut self, group: u32, from: MemberId, term: Term, body: Body) {
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

    fn on_synced(&mut self, sync_id: SyncId) {
        for deferred in self.durability.complete_sync(sync_id) {
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

    /// Adopts `term` if it is higher than the current one, and becomes a
    /// follower.
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
        self.durability.mark_critical_write();
        self.write(Write::HardState(hard_state));
    }

    fn become_follower(&mut self) {
        let state = std::mem::replace(&mut self.state, State::Follower);
        self.leader = None;
        self.reset_election_timeout();
        if let State::Leader(leader_state) = state {
            let rejection = Rejection::NotLeader { leader: None };
            for read in leader_state.reads {
                self.effects.push(Effect::ReadRejected {
                    id: read.id,
                    rejection,
                });
            }
            self.effects.push(Effect::LostLeadership);
        }
    }

    fn reset_election_timeout(&mut self) {
        let Timing {
            election_timeout_min,
            election_timeout_max,
            lease_renewal,
            ..
        } = self.config.timing;
        let timeout = self
            .rng
            .random_range(election_timeout_min..=election_timeout_max.max(election_timeout_min));
        // A learner starts no election and receives heartbeats less often.
        let learner = !self.is_voter();
        let learner_delay = if learner {
            lease_renewal
        } else {
            Duration::ZERO
        };
        self.election_deadline = self.now + timeout + learner_delay;
    }

    /// Schedules a retry in case the current election fails. The leader is
    /// presumed dead by then, and waiting a full election timeout would let the
    /// member leases expire.
    fn schedule_election_retry(&mut self) {
        let longest = self.config.timing.election_timeout_min;
        let wait = self
            .rng
            .random_range(longest / ELECTION_RETRY_SPREAD..=longest);
        self.election_deadline = self.now + wait;
    }

    fn write(&mut self, write: Write) {
        self.durability.dirty = true;
        self.effects.push(Effect::Write(write));
    }

    fn send(&mut self, to: MemberId, body: Body) {
        let message = self.message(to, self.hard_state.term, body);
        self.effects.push(Effect::Send(message));
    }

    /// Sends a message once all writes so far are synced.
    fn send_durable(&mut self, message: Message) {
        if self.durability.is_fully_synced() || !self.config.protections.sync_before_send {
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
    fn is_initialized(&self) -> bool {
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

    /// Whether this member is the only voter. A sole voter elects itself
    /// without waiting, because no other leader can be live.
    fn is_sole_voter(&self) -> bool {
        if self.is_initialized() {
            return self.is_voter() && self.log.membership().voters().count() == 1;
        }
        self.config.may_bootstrap() && self.config.voters().count() == 1
    }
}
