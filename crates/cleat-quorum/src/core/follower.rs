//! How a member takes entries, snapshots and its lease from the leader.

use std::sync::Arc;

use super::durability::Deferred;
use super::event::Write;
use super::message::{Ack, AckOutcome, Append, Body, InstallSnapshot, LeaseStamp, NO_ROUND};
use super::types::{Entry, LogIndex, MemberId, Snapshot, Term};
use super::{Core, State, Timing};

impl Core {
    pub(super) fn on_append(&mut self, from: MemberId, term: Term, append: Append) {
        if !self.follow(from, term) {
            return;
        }
        self.take_lease(append.echo, append.commit);
        let last_sent = append.prev_index + append.entries.len() as u64;
        if !self.agrees_at(append.prev_index, append.prev_term) {
            let hint = self.mismatch_hint(append.prev_index);
            return self.ack(from, append.round, AckOutcome::Mismatch(hint));
        }
        let plain = append.entries.is_empty() && self.lease.is_latest(append.echo);
        let applied = self.applied;
        self.merge(append.entries);
        self.commit_to(append.commit.min(last_sent));
        // The echo tells that the leader has all that a learner could answer.
        if plain && self.applied == applied && !self.is_voter() {
            return;
        }
        // A committed prefix agrees with every later leader's log.
        let verified = last_sent.max(self.commit);
        self.acknowledge(from, append.round, verified);
    }

    pub(super) fn on_install(&mut self, from: MemberId, term: Term, install: InstallSnapshot) {
        if !self.follow(from, term) {
            return;
        }
        let index = install.snapshot.index;
        if !self.is_formed() || index > self.commit {
            self.install_snapshot(install.snapshot);
        }
        self.take_lease(install.echo, install.commit);
        self.acknowledge(from, install.round, index.max(self.commit));
    }

    /// Accepts the sender as the leader of its term, or tells it that its
    /// term is over.
    fn follow(&mut self, from: MemberId, term: Term) -> bool {
        if term < self.hard_state.term {
            let last = self.log.last_index();
            self.acknowledge_term(from, AckOutcome::Mismatch(last));
            return false;
        }
        self.observe_term(term);
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.state = State::Follower;
        self.leader = Some(from);
        self.sticky_until = self.now + self.config.timing.election_timeout_min;
        self.reset_election();
        true
    }

    /// A lease counts from the send that the leader echoes, so a delayed
    /// message can't make it longer.
    fn take_lease(&mut self, echo: Option<LeaseStamp>, commit: LogIndex) {
        let Some(sent_at) = echo.and_then(|echo| self.lease.sent_at(echo)) else {
            return;
        };
        let protections = self.config.protections;
        let start = if protections.lease_from_send {
            sent_at
        } else {
            self.now
        };
        let Timing {
            member_lease,
            lease_renewal,
            ..
        } = self.config.timing;
        let until = start + member_lease;
        self.renewal_due = self.renewal_due.max(start + lease_renewal);
        self.lease.extend(
            until,
            commit,
            self.now,
            protections.apply_before_lease_resumes,
        );
    }

    /// Whether this member renews its lease by asking. Learners detect no
    /// dead leader, so they need fewer heartbeats than voters; and a lease that
    /// is asked for is echoed at once, so it runs longer after the last one.
    pub(super) fn asks_for_lease(&self) -> bool {
        let follows = matches!(self.state, State::Follower) && self.leader.is_some();
        follows && self.is_formed() && !self.is_voter() && self.lease.released().is_none()
    }

    pub(super) fn ask_for_lease(&mut self) {
        self.renewal_due = self.now + self.config.timing.heartbeat_interval;
        if let Some(leader) = self.leader {
            self.ack_verified(leader, NO_ROUND, self.commit);
        }
    }

    fn agrees_at(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    fn mismatch_hint(&self, index: LogIndex) -> LogIndex {
        if index > self.log.last_index() {
            return self.log.last_index();
        }
        let before_term = self.log.first_of_term(index).saturating_sub(1);
        before_term.max(self.commit)
    }

    /// Adds the entries that are missing; drops those that differ.
    fn merge(&mut self, entries: Vec<Entry>) {
        let mut missing = Vec::new();
        for entry in entries {
            if entry.index <= self.commit {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            self.log.push(entry.clone());
            missing.push(entry);
        }
        if !missing.is_empty() {
            self.write(Write::Append(missing));
        }
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.durability.truncate_from(index);
        self.write(Write::TruncateFrom(index));
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        let formed = self.is_formed();
        let continues = formed && self.log.term_at(snapshot.index) == Some(snapshot.term);
        // The entries that differ go first: a crash in between must not leave
        // them behind the snapshot.
        if !continues && self.log.last_index() >= snapshot.index && formed {
            self.truncate_from(snapshot.index);
        }
        self.durability.critical_written();
        self.write(Write::Snapshot(snapshot.clone()));
        self.log.install(snapshot.clone());
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.restore_snapshot();
    }

    pub(super) fn commit_to(&mut self, index: LogIndex) {
        if index > self.commit {
            self.commit = index;
            self.apply_committed();
        }
    }

    /// Acknowledges once what is acknowledged is on the disk. A heartbeat
    /// need not wait for entries that are still being synced.
    fn acknowledge(&mut self, to: MemberId, round: u64, verified: LogIndex) {
        let pending = self.durability.dirty || !self.durability.critical_synced();
        if pending && self.config.protections.sync_before_send {
            let term = self.hard_state.term;
            self.durability.defer(Deferred::Ack {
                to,
                round,
                term,
                verified,
            });
        } else {
            self.ack_verified(to, round, verified);
        }
    }

    pub(super) fn ack_verified(&mut self, to: MemberId, round: u64, verified: LogIndex) {
        let durable = if self.config.protections.sync_before_send {
            self.durability.durable_index()
        } else {
            self.log.last_index()
        };
        self.ack(to, round, AckOutcome::Matched(verified.min(durable)));
    }

    /// Tells the leader of an earlier term that a later one began.
    fn acknowledge_term(&mut self, to: MemberId, outcome: AckOutcome) {
        self.ack(to, NO_ROUND, outcome);
    }

    pub(super) fn ack(&mut self, to: MemberId, round: u64, outcome: AckOutcome) {
        let stamp = self.lease.stamp(self.now, self.config.timing.member_lease);
        let ack = Ack {
            round,
            identity: self.identity,
            stamp,
            applied: self.applied,
            outcome,
        };
        let message = self.message(to, self.hard_state.term, Body::Ack(ack));
        // What the message rests on must survive a restart.
        if self.durability.critical_synced() {
            self.effects.push(super::Effect::Send(message));
        } else {
            self.send_durable(message);
        }
        if let Some(stamp) = self.lease.released() {
            self.send(to, Body::ReleaseLease(stamp));
        }
    }
}
