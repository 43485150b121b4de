//! How a leader sends entries and snapshots, and takes their acknowledgements.

use super::message::{Ack, AckOutcome, Append, Body, InstallSnapshot, LeaseStamp, NO_ROUND};
use super::progress::{Inflight, Progress};
use super::types::{MemberId, Term};
use super::{Core, State};

/// After how many heartbeats unanswered entries are sent again.
const RESEND_HEARTBEATS: u32 = 2;
/// How many heartbeats apart a learner hears from the leader unasked.
const LEARNER_HEARTBEATS: u32 = 4;

impl Core {
    /// Sends a heartbeat to every member, with entries for those that lack some.
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

    fn send_round(&mut self, members: &[MemberId]) {
        let due = self.now + self.config.timing.heartbeat_interval;
        let Some(round) = self.next_round() else {
            return;
        };
        if let State::Leader(leadership) = &mut self.state {
            leadership.heartbeat_due = due;
            if let Some(transfer) = &mut leadership.transfer {
                transfer.told = false;
            }
        }
        for id in members {
            self.send_to(*id, round);
        }
    }

    /// Echoes the stamp of a learner that asks; the heartbeats stay due as
    /// they are.
    fn renew(&mut self, id: MemberId) {
        if let Some(round) = self.next_round() {
            self.send_to(id, round);
        }
    }

    /// Whether a member needs every heartbeat. A learner that serves and lacks
    /// nothing asks by itself; it gets a few in case it does not know whom.
    fn needs_heartbeat(&self, id: MemberId) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let Some(progress) = leadership.progress.get(&id) else {
            return false;
        };
        let votes = self.log.membership().get(id).is_some_and(|m| m.votes);
        let served = progress.live.may_hold_lease(self.now)
            && !progress.lags(self.log.last_index(), self.commit);
        let spared = progress.sent_at + self.config.timing.heartbeat_interval * LEARNER_HEARTBEATS;
        votes || !served || self.now >= spared
    }

    /// Sends what a member lacks, unless something is under way to it.
    pub(super) fn send_pending(&mut self, id: MemberId) {
        let last = self.log.last_index();
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let idle = |p: &Progress| p.inflight.is_none() && (p.next <= last || p.needs_snapshot);
        if leadership.progress.get(&id).is_some_and(idle)
            && let Some(round) = self.next_round()
        {
            self.send_to(id, round);
        }
    }

    pub(super) fn next_round(&mut self) -> Option<u64> {
        let horizon = self.config.timing.election_timeout_max;
        match &mut self.state {
            State::Leader(leadership) => Some(leadership.next_round(self.now, horizon)),
            _ => None,
        }
    }

    fn send_to(&mut self, id: MemberId, round: u64) {
        let grants = self.holds_leader_lease() && self.has_committed_own_term();
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&id) else {
            return;
        };
        progress.expire(self.now);
        progress.sent_at = self.now;
        let echo = progress.live.echo().filter(|_| grants);
        let idle = progress.inflight.is_none();
        let cut_off = self.log.term_at(progress.next - 1).is_none();
        let expires = self.now + self.config.timing.heartbeat_interval * RESEND_HEARTBEATS;
        if idle && (progress.needs_snapshot || cut_off) {
            return self.send_snapshot(id, round, echo);
        }
        // What is under way arrives first, as a rule; if not, the member
        // answers that it differs, and that is ignored until the resend.
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
            // A member that lags behind the log just answers that it differs.
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
        // A snapshot takes longer on the way than entries do.
        let expires = self.now + self.config.timing.election_timeout_max;
        if let State::Leader(leadership) = &mut self.state
            && let Some(progress) = leadership.progress.get_mut(&id)
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
        // A removed member that still asks gets no lease, so nobody waits for
        // more than those that it had.
        if self.log.membership().get(from).is_none() {
            return;
        }
        let until = self.now + self.config.timing.member_lease_with_drift();
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let sent_at = leadership.sent_at(ack.round);
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        progress.live.acked(ack.stamp, ack.applied, until);
        // An acknowledgement that was overtaken still tells what its disk
        // holds, unless another disk has spoken since.
        let overtaken = ack.round < progress.round;
        if overtaken && ack.identity != progress.identity {
            return;
        }
        progress.meet(ack.identity);
        // A member of no group yet may vote soon; no lease can rest on it.
        if ack.outcome != AckOutcome::Uninitialized {
            progress.round = progress.round.max(ack.round);
            progress.round_sent = progress.round_sent.max(sent_at);
        }
        progress.take_outcome(ack, overtaken);
        self.advance_commit();
        self.confirm_reads();
        self.offer_lead(from, ack.round);
        if ack.round == NO_ROUND {
            self.renew(from);
        } else {
            self.send_pending(from);
        }
        self.maintain_membership();
    }

    pub(super) fn on_release(&mut self, from: MemberId, stamp: LeaseStamp) {
        if let State::Leader(leadership) = &mut self.state
            && let Some(progress) = leadership.progress.get_mut(&from)
        {
            progress.live.release(stamp);
        }
    }
}
