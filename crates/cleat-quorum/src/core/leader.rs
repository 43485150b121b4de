//! How a leader replicates, commits, confirms reads and grants leases.

use std::sync::Arc;
use std::time::Duration;

use super::event::{Refusal, Write};
use super::lease::Liveness;
use super::message::{Ack, AckOutcome, Append, Body, Install, Stamp};
use super::progress::{Inflight, Leadership, PendingRead, Progress};
use super::types::{Entry, LogIndex, MemberId, Payload, Term};
use super::{Core, Effect, State};

/// After how many heartbeats unanswered entries are sent again.
const RESEND_HEARTBEATS: u32 = 2;

impl Core {
    pub(super) fn become_leader(&mut self, asked_at: Duration) {
        let next = self.log.last_index() + 1;
        let mut leadership = Leadership::new(next, asked_at);
        // Members may hold leases that an earlier leader granted up to now.
        let until = if self.config.protections.inherited_leases {
            self.now + self.config.timing.lease_window()
        } else {
            Duration::ZERO
        };
        let membership = self.log.membership().clone();
        let members = membership.members.iter().map(|member| member.id);
        let others = members.chain(membership.retired.iter().copied());
        for id in others.filter(|id| *id != self.config.id) {
            leadership
                .progress
                .insert(id, Progress::new(next, Liveness::inherited(until)));
        }
        self.leader = Some(self.config.id);
        self.state = State::Leader(Box::new(leadership));
        self.append_own(vec![Payload::Noop]);
        self.broadcast();
    }

    pub(super) fn tick_leader(&mut self) {
        let contact = self.quorum_contact();
        if self.now > contact + self.config.timing.election_max {
            return self.become_follower();
        }
        if self.now >= self.deadline() {
            self.broadcast();
        }
        self.maintain_membership();
    }

    /// Appends the leader's own entries and sends them to whoever is idle.
    pub(super) fn append_own(&mut self, payloads: Vec<Payload>) {
        let term = self.hard_state.term;
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            let entry = Entry {
                index: self.log.last_index() + 1,
                term,
                payload,
            };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        self.write(Write::Append(entries));
        for id in self.other_members() {
            self.send_pending(id);
        }
        self.advance_commit();
    }

    pub(super) fn propose(&mut self, commands: &[Arc<[u8]>]) {
        if let Err(refusal) = self.may_propose(commands) {
            return self.effects.push(Effect::Refused(refusal));
        }
        let first = self.log.last_index() + 1;
        let accepted = Effect::Accepted {
            first,
            term: self.hard_state.term,
        };
        self.effects.push(accepted);
        self.append_own(commands.iter().cloned().map(Payload::Command).collect());
    }

    fn may_propose(&self, commands: &[Arc<[u8]>]) -> Result<(), Refusal> {
        if !matches!(self.state, State::Leader(_)) {
            return Err(Refusal::NotLeader {
                leader: self.leader,
            });
        }
        if self.now >= self.quorum_contact() + self.config.timing.election_min {
            return Err(Refusal::NoQuorum);
        }
        let limits = self.config.limits;
        let limit = limits.max_command;
        if let Some(large) = commands.iter().find(|command| command.len() > limit) {
            return Err(Refusal::TooLarge {
                size: large.len(),
                limit,
            });
        }
        if self.log.last_index() - self.commit >= limits.max_uncommitted {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    pub(super) fn read(&mut self, id: u64) {
        let certain = self.holds_leader_lease() && self.has_committed_own_term();
        let commit = self.commit;
        let State::Leader(leadership) = &mut self.state else {
            let refusal = Refusal::NotLeader {
                leader: self.leader,
            };
            return self.effects.push(Effect::ReadRefused { id, refusal });
        };
        if certain {
            return self.effects.push(Effect::ReadReady { id, index: commit });
        }
        let round = leadership.upcoming_round();
        leadership.reads.push(PendingRead { id, round });
        self.broadcast();
    }

    /// Sends a heartbeat to every member, with entries for those that lack some.
    fn broadcast(&mut self) {
        let due = self.now + self.config.timing.heartbeat;
        let Some(round) = self.next_round() else {
            return;
        };
        if let State::Leader(leadership) = &mut self.state {
            leadership.heartbeat_due = due;
        }
        for id in self.other_members() {
            self.send_to(id, round);
        }
    }

    /// Sends what a member lacks, unless something is under way to it.
    fn send_pending(&mut self, id: MemberId) {
        let last = self.log.last_index();
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let idle = |p: &Progress| p.inflight.is_none() && (p.next <= last || p.needs_image);
        if leadership.progress.get(&id).is_some_and(idle)
            && let Some(round) = self.next_round()
        {
            self.send_to(id, round);
        }
    }

    fn next_round(&mut self) -> Option<u64> {
        let horizon = self.config.timing.election_max;
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
        let echo = progress.live.echo().filter(|_| grants);
        let idle = progress.inflight.is_none();
        let cut_off = self.log.term_at(progress.next - 1).is_none();
        let expires = self.now + self.config.timing.heartbeat * RESEND_HEARTBEATS;
        if idle && (progress.needs_image || cut_off) {
            return self.send_image(id, round, echo);
        }
        // What is under way arrives first, as a rule; if not, the member
        // answers that it differs, and that is ignored until the resend.
        let prev_index = progress.next - 1;
        let entries = if idle {
            self.log.batch(progress.next, self.config.limits.max_batch)
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

    fn send_image(&mut self, id: MemberId, round: u64, echo: Option<Stamp>) {
        let Some(image) = self.log.image().cloned() else {
            return;
        };
        // A snapshot takes longer on the way than entries do.
        let expires = self.now + self.config.timing.election_max;
        if let State::Leader(leadership) = &mut self.state
            && let Some(progress) = leadership.progress.get_mut(&id)
        {
            progress.inflight = Some(Inflight {
                round,
                first_index: progress.next,
                last_index: image.index,
                expires,
            });
            progress.next = image.index + 1;
        }
        let image = (*image).clone();
        self.send(
            id,
            Body::Install(Install {
                round,
                commit: self.commit,
                echo,
                image,
            }),
        );
    }

    pub(super) fn on_ack(&mut self, from: MemberId, term: Term, ack: &Ack) {
        self.observe_term(term);
        if term < self.hard_state.term {
            return;
        }
        let until = self.now + self.config.timing.lease_window();
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
        if ack.outcome != AckOutcome::Empty {
            progress.round = progress.round.max(ack.round);
            progress.round_sent = progress.round_sent.max(sent_at);
        }
        progress.take_outcome(ack, overtaken);
        self.advance_commit();
        self.confirm_reads();
        self.send_pending(from);
        self.maintain_membership();
    }

    pub(super) fn on_release(&mut self, from: MemberId, stamp: Stamp) {
        if let State::Leader(leadership) = &mut self.state
            && let Some(progress) = leadership.progress.get_mut(&from)
        {
            progress.live.release(stamp);
        }
    }

    /// Commits what a majority of the voters holds on disk. Entries of earlier
    /// terms are committed only through one of the leader's own: a majority
    /// that holds an old entry may still be overruled.
    pub(super) fn advance_commit(&mut self) {
        if !matches!(self.state, State::Leader(_)) {
            return;
        }
        let Some(index) = self.quorum_value(0, |core, progress| match progress {
            Some(progress) => progress.matched,
            None if core.config.protections.own_sync_counts => core.durability.durable_index(),
            None => core.log.last_index(),
        }) else {
            return;
        };
        let own_term = self.log.term_at(index) == Some(self.hard_state.term)
            || !self.config.protections.own_term_commit;
        if index <= self.commit || !own_term {
            return;
        }
        self.commit_to(index);
        if self.log.membership_index() <= self.commit && !self.is_voter() {
            return self.become_follower();
        }
        self.confirm_reads();
        self.broadcast();
    }

    fn confirm_reads(&mut self) {
        if !self.has_committed_own_term() {
            return;
        }
        let own_round = u64::MAX;
        let confirmed = self
            .quorum_value(0, |_, progress| progress.map_or(own_round, |p| p.round))
            .unwrap_or_default();
        let index = self.commit;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        for read in leadership
            .reads
            .extract_if(.., |read| read.round <= confirmed)
        {
            self.effects.push(Effect::ReadReady { id: read.id, index });
        }
    }

    /// The highest value that a majority of the voters reaches. The leader
    /// itself has no progress; a voter whose disk is not the recorded one
    /// counts as `missing`.
    fn quorum_value<T: Ord + Copy>(
        &self,
        missing: T,
        value: impl Fn(&Core, Option<&Progress>) -> T,
    ) -> Option<T> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let membership = self.log.membership();
        let mut values: Vec<T> = membership
            .voters()
            .map(|voter| {
                if voter.id == self.config.id {
                    return value(self, None);
                }
                let progress = leadership.progress.get(&voter.id);
                let known =
                    progress.filter(|p| self.counts_as_voter(membership, voter.id, p.identity));
                known.map_or(missing, |progress| value(self, Some(progress)))
            })
            .collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(membership.quorum() - 1).copied()
    }

    /// When the latest round left that a majority acknowledged.
    fn quorum_sent(&self, now: Duration) -> Option<Duration> {
        self.quorum_value(None, |_, progress| match progress {
            Some(progress) => progress.round_sent,
            None => Some(now),
        })?
    }

    fn quorum_contact(&self) -> Duration {
        let State::Leader(leadership) = &self.state else {
            return Duration::ZERO;
        };
        self.quorum_sent(self.now)
            .unwrap_or_default()
            .max(leadership.asked_at)
    }

    pub(super) fn holds_leader_lease(&self) -> bool {
        self.holds_leader_lease_at(self.now)
    }

    /// Whether this member leads and no other leader can have been elected by
    /// `now`.
    pub fn holds_leader_lease_at(&self, now: Duration) -> bool {
        let lease = self.config.timing.leader_lease();
        self.quorum_sent(now).is_some_and(|sent| now < sent + lease)
    }

    pub(super) fn leads_until(&self) -> Option<Duration> {
        let sent = self
            .quorum_sent(self.now)
            .filter(|_| self.has_committed_own_term());
        sent.map(|sent| sent + self.config.timing.leader_lease())
    }

    /// Whether this leader's commit index covers all earlier terms.
    pub(super) fn has_committed_own_term(&self) -> bool {
        match &self.state {
            State::Leader(leadership) => self.commit >= leadership.first_index,
            _ => false,
        }
    }

    /// A leader grants itself a member's lease as it does to the others.
    pub(super) fn renew_own_lease(&mut self) {
        if self.has_committed_own_term() && self.holds_leader_lease() {
            let until = self.now + self.config.timing.lease;
            let gated = self.config.protections.renewal_gate;
            self.lease.extend(until, self.commit, self.now, gated);
        }
    }

    fn other_members(&self) -> Vec<MemberId> {
        let members = &self.log.membership().members;
        let others = members.iter().filter(|member| member.id != self.config.id);
        others.map(|member| member.id).collect()
    }

    pub(super) fn members_before(&self, index: LogIndex, now: Duration) -> Vec<MemberId> {
        let State::Leader(leadership) = &self.state else {
            return Vec::new();
        };
        let behind = leadership
            .progress
            .iter()
            .filter(|(_, p)| p.live.is_live(now) && p.live.applied() < index);
        behind.map(|(id, _)| *id).collect()
    }
}
