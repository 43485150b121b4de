//! Handling of entries, snapshots and lease renewals from the leader.

use std::sync::Arc;

use super::durability::Deferred;
use super::event::Write;
use super::message::{Ack, AckOutcome, Append, Body, InstallSnapshot, LeaseStamp, NO_ROUND};
use super::types::{Entry, LogIndex, MemberId, Snapshot, Term};
use super::{Core, State, Timing};

impl Core {
    pub(super) fn on_append(&mut self, from: MemberId, term: Term, append: Append) {
        if !self.accept_leader(from, term) {
            return;
        }
        self.extend_lease(append.echo, append.commit);
        let last_sent = append.prev_index + append.entries.len() as u64;
        if !self.matches_at(append.prev_index, append.prev_term) {
            let hint = self.mismatch_hint(append.prev_index);
            return self.ack(from, append.round, AckOutcome::Mismatch(hint));
        }
        let nothing_to_report = append.entries.is_empty() && self.lease.is_latest(append.echo);
        let applied = self.applied;
        self.append_missing(append.entries);
        self.commit_to(append.commit.min(last_sent));
        // The echo shows that the leader has already received this learner's
        // latest acknowledgement.
        if nothing_to_report && self.applied == applied && !self.is_voter() {
            return;
        }
        // Every later leader's log contains the committed prefix.
        let verified = last_sent.max(self.commit);
        self.acknowledge(from, append.round, verified);
    }

    pub(super) fn on_install(&mut self, from: MemberId, term: Term, install: InstallSnapshot) {
        if !self.accept_leader(from, term) {
            return;
        }
        let index = install.snapshot.index;
        if !self.is_initialized() || index > self.commit {
            self.install_snapshot(install.snapshot);
        }
        self.extend_lease(install.echo, install.commit);
        self.acknowledge(from, install.round, index.max(self.commit));
    }

    /// Accepts the sender as the leader of its term. A sender with a stale term
    /// is sent the current term instead.
    fn accept_leader(&mut self, from: MemberId, term: Term) -> bool {
        if term < self.hard_state.term {
            let last = self.log.last_index();
            self.reject_stale_term(from, AckOutcome::Mismatch(last));
            return false;
        }
        self.observe_term(term);
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.state = State::Follower;
        self.leader = Some(from);
        self.reject_votes_until = self.now + self.config.timing.election_timeout_min;
        self.reset_election_timeout();
        true
    }

    /// Extends the lease. It starts at the send that the leader echoes, so a
    /// delayed message can't prolong it.
    fn extend_lease(&mut self, echo: Option<LeaseStamp>, commit: LogIndex) {
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

    /// Whether this member renews its lease by request. Learners don't detect
    /// leader failures and so need fewer heartbeats than voters. The leader
    /// answers a request at once, so more of the lease remains when the echo
    /// arrives than with an echo in the next heartbeat.
    pub(super) fn requests_lease_renewal(&self) -> bool {
        let is_follower = matches!(self.state, State::Follower) && self.leader.is_some();
        is_follower
            && self.is_initialized()
            && !self.is_voter()
            && self.lease.released_stamp().is_none()
    }

    pub(super) fn request_lease_renewal(&mut self) {
        self.renewal_due = self.now + self.config.timing.heartbeat_interval;
        if let Some(leader) = self.leader {
            self.ack_verified(leader, NO_ROUND, self.commit);
        }
    }

    fn matches_at(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    fn mismatch_hint(&self, index: LogIndex) -> LogIndex {
        if index > self.log.last_index() {
            return self.log.last_index();
        }
        let before_term = self.log.first_of_term(index).saturating_sub(1);
        before_term.max(self.commit)
    }

    /// Appends the missing entries and replaces conflicting ones.
    fn append_missing(&mut self, entries: Vec<Entry>) {
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
        let initialized = self.is_initialized();
        let continues = initialized && self.log.term_at(snapshot.index) == Some(snapshot.term);
        // Delete the conflicting entries first: a crash between the two writes
        // must not leave them after the snapshot.
        if !continues && self.log.last_index() >= snapshot.index && initialized {
            self.truncate_from(snapshot.index);
        }
        self.durability.mark_critical_write();
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

    /// Sends an acknowledgement once the state that it reports is durable. The
    /// acknowledgement of a heartbeat doesn't wait for entries whose sync is
    /// pending.
    fn acknowledge(&mut self, to: MemberId, round: u64, verified: LogIndex) {
        let pending = self.durability.dirty || !self.durability.is_critical_state_synced();
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

    /// Reports the current term to the leader of an earlier one.
    fn reject_stale_term(&mut self, to: MemberId, outcome: AckOutcome) {
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
        // The term, vote and snapshot that the message depends on must survive
        // a restart.
        if self.durability.is_critical_state_synced() {
            self.effects.push(super::Effect::Send(message));
        } else {
            self.send_durable(message);
        }
        if let Some(stamp) = self.lease.released_stamp() {
            self.send(to, Body::ReleaseLease(stamp));
        }
    }
}
