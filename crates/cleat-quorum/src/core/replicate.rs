//! Replication of entries and snapshots from the leader, and its handling of
//! acknowledgements.

use super::message::{Ack, AckOutcome, Append, Body, InstallSnapshot, LeaseStamp, NO_ROUND};
use super::progress::{Inflight, Progress};
use super::types::{MemberId, Term};
use super::{Core, State};

/// Number of heartbeat intervals after which unacknowledged entries are resent.
const RESEND_AFTER_HEARTBEATS: u32 = 2;
/// Number of heartbeat intervals between unsolicited heartbeats to a learner.
const LEARNER_HEARTBEAT_INTERVALS: u32 = 4;

impl Core {
    /// Sends a heartbeat to every member, with entries for members that lack
    /// some.
    pub(super) fn broadcast(&mut self) {
        let members = self.other_members();
        self.send_round(&members);
    }

    /// Sends a heartbeat to every member that needs one now.
    pub(super) fn heartbeat(&mut self) {
        let mut members = self.other_members();
        members.retain(|id| self.needs_heartbeat(*id));
        self.send_round(&members);
    }

    /// Starts a round and sends it to these members.
    fn send_round(&mut self, members: &[MemberId]) {
        let due = self.now + self.config.timing.heartbeat_interval;
        let Some(round) = self.next_round() else {
            return;
        };
        if let State::Leader(leader_state) = &mut self.state {
            leader_state.heartbeat_due = due;
            if let Some(transfer) = &mut leader_state.transfer {
                transfer.notified = false;
            }
        }
        for id in members {
            self.send_to(*id, round);
        }
    }

    /// Echoes the stamp of a learner that requested a renewal. The heartbeat
    /// schedule doesn't change.
    fn send_lease_renewal(&mut self, id: MemberId) {
        if let Some(round) = self.next_round() {
            self.send_to(id, round);
        }
    }

    /// Whether a member needs this heartbeat. A learner that is up to date and
    /// may hold a lease requests renewals itself; it still gets an occasional
    /// heartbeat in case it doesn't know the leader.
    fn needs_heartbeat(&self, id: MemberId) -> bool {
        let State::Leader(leader_state) = &self.state else {
            return false;
        };
        let Some(progress) = leader_state.progress.get(&id) else {
            return false;
        };
        let votes = self.log.membership().get(id).is_some_and(|m| m.votes);
        let up_to_date = progress.peer_lease.may_hold_lease(self.now)
            && !progress.is_behind(self.log.last_index(), self.commit);
        let next_due =
            progress.sent_at + self.config.timing.heartbeat_interval * LEARNER_HEARTBEAT_INTERVALS;
        votes || !up_to_date || self.now >= next_due
    }

    /// Sends the entries that a member lacks, unless some are already in flight
    /// to it.
    pub(super) fn send_pending(&mut self, id: MemberId) {
        let last = self.log.last_index();
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let idle = |p: &Progress| p.inflight.is_none() && (p.next <= last || p.needs_snapshot);
        if leader_state.progress.get(&id).is_some_and(idle)
            && let Some(round) = self.next_round()
        {
            self.send_to(id, round);
        }
    }

    pub(super) fn next_round(&mut self) -> Option<u64> {
        let horizon = self.config.timing.election_timeout_max;
        match &mut self.state {
            State::Leader(leader_state) => Some(leader_state.next_round(self.now, horizon)),
            _ => None,
        }
    }

    fn send_to(&mut self, id: MemberId, round: u64) {
        let grants_leases = self.holds_leader_lease() && self.has_committed_own_term();
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&id) else {
            return;
        };
        progress.expire(self.now);
        progress.sent_at = self.now;
        let echo = progress.peer_lease.echo().filter(|_| grants_leases);
        let idle = progress.inflight.is_none();
        let compacted = self.log.term_at(progress.next - 1).is_none();
        let expires = self.now + self.config.timing.heartbeat_interval * RESEND_AFTER_HEARTBEATS;
        if idle && (progress.needs_snapshot || compacted) {
            return self.send_snapshot(id, round, echo);
        }
        // Messages in flight usually arrive first. If they don't, the member
        // reports a mismatch, which is ignored until the resend.
        let prev_index = progress.next - 1;
        let entries = if idle {
            self.log
                .batch(progress.next, self.config.limits.max_batch_bytes)
        } else {
            Vec::new()
        };
        if let Some(last) = entries.last() {
            progress.inflight = Some(Inflight {
                round,
                first_index: progress.next,
                last_index: last.index,
                expires,
            });
            progress.next = last.index + 1;
        }
        let append = Append {
            round,
            prev_index,
            // A member that lags behind the retained log reports a mismatch.
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            commit: self.commit,
            echo,
            entries,
        };
        self.send(id, Body::Append(append));
    }

    fn send_snapshot(&mut self, id: MemberId, round: u64, echo: Option<LeaseStamp>) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        // A snapshot takes longer to transmit than entries.
        let expires = self.now + self.config.timing.election_timeout_max;
        if let State::Leader(leader_state) = &mut self.state
            && let Some(progress) = leader_state.progress.get_mut(&id)
        {
            progress.inflight = Some(Inflight {
                round,
                first_index: progress.next,
                last_index: snapshot.index,
                expires,
            });
            progress.next = snapshot.index + 1;
        }
        let snapshot = (*snapshot).clone();
        self.send(
            id,
            Body::InstallSnapshot(InstallSnapshot {
                round,
                commit: self.commit,
                echo,
                snapshot,
            }),
        );
    }

    pub(super) fn on_ack(&mut self, from: MemberId, term: Term, ack: &Ack) {
        self.observe_term(term);
        if term < self.hard_state.term {
            return;
        }
        // Ignore a removed member. The member gets no new lease, so an entry that
        // it has not applied is held back from being in force only by the leases
        // that the member held at its removal.
        if self.log.membership().get(from).is_none() {
            return;
        }
        let until = self.now + self.config.timing.member_lease_with_drift();
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let sent_at = leader_state.sent_at(ack.round);
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        progress
            .peer_lease
            .record_ack(ack.stamp, ack.applied, until);
        // A stale acknowledgement still shows which entries its disk has
        // synced, unless the member has since reported another disk identity.
        let stale = ack.round < progress.round;
        if stale && ack.identity != progress.identity {
            return;
        }
        progress.set_identity(ack.identity);
        // An uninitialized member may vote as soon as it is initialized, so its
        // acknowledgements must not extend the leader lease.
        if ack.outcome != AckOutcome::Uninitialized {
            progress.round = progress.round.max(ack.round);
            progress.round_sent_at = progress.round_sent_at.max(sent_at);
        }
        progress.apply_outcome(ack, stale);
        self.advance_commit();
        self.confirm_reads();
        self.try_transfer_to(from, ack.round);
        if ack.round == NO_ROUND {
            self.send_lease_renewal(from);
        } else {
            self.send_pending(from);
        }
        self.reconcile_membership();
    }

    pub(super) fn on_release(&mut self, from: MemberId, stamp: LeaseStamp) {
        if let State::Leader(leader_state) = &mut self.state
            && let Some(progress) = leader_state.progress.get_mut(&from)
        {
            progress.peer_lease.release(stamp);
        }
    }
}
