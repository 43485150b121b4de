//! What a majority of the voters confirms: entries, reads and the lead itself.

use std::time::Duration;

use super::progress::Progress;
use super::{Core, Effect, State};

impl Core {
    /// Commits what a majority of the voters holds on disk. Entries of earlier
    /// terms are committed only through one of the leader's own: a majority
    /// that holds an old entry may still be overruled.
    pub(super) fn advance_commit(&mut self) {
        if !matches!(self.state, State::Leader(_)) {
            return;
        }
        let Some(index) = self.quorum_value(0, |core, progress| match progress {
            Some(progress) => progress.matched,
            None if core.config.protections.commit_after_own_sync => {
                core.durability.durable_index()
            }
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

    pub(super) fn confirm_reads(&mut self) {
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

    pub(super) fn quorum_contact(&self) -> Duration {
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
        self.leader_lease_start(now)
            .is_some_and(|sent| now < sent + self.config.timing.leader_lease())
    }

    /// When the leader's lease began; none if it may not be trusted.
    fn leader_lease_start(&self, now: Duration) -> Option<Duration> {
        let ended =
            self.is_transferring_leadership() && self.config.protections.transfer_ends_lease;
        self.quorum_sent(now).filter(|_| !ended)
    }

    pub(super) fn leader_lease_until(&self) -> Option<Duration> {
        let sent = self
            .leader_lease_start(self.now)
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
            let until = self.now + self.config.timing.member_lease;
            let gated = self.config.protections.apply_before_lease_resumes;
            self.lease.extend(until, self.commit, self.now, gated);
        }
    }
}
