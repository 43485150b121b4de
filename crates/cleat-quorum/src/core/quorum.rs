//! Decisions that need a majority of the voters: commits, reads and the leader
//! lease.

use std::time::Duration;

use super::progress::Progress;
use super::{Core, Effect, State};

impl Core {
    /// Commits entries that a majority of the voters has synced. Entries of
    /// earlier terms are committed only together with an entry of the leader's
    /// own term: until then, a later leader may still overwrite them, even on a
    /// majority.
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
        // The leader needs no acknowledgement from itself: every round counts as
        // acknowledged by it.
        let own_round = u64::MAX;
        let confirmed = self
            .quorum_value(0, |_, progress| progress.map_or(own_round, |p| p.round))
            .unwrap_or_default();
        let index = self.commit;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        for read in leader_state
            .reads
            .extract_if(.., |read| read.round <= confirmed)
        {
            self.effects.push(Effect::ReadReady { id: read.id, index });
        }
    }

    /// Returns the highest value that a majority of the voters has reached.
    /// `value` gets `None` for the leader itself. A voter that has reported no
    /// disk identity, or another one than the membership records, is counted
    /// with the value `missing`.
    fn quorum_value<T: Ord + Copy>(
        &self,
        missing: T,
        value: impl Fn(&Core, Option<&Progress>) -> T,
    ) -> Option<T> {
        let State::Leader(leader_state) = &self.state else {
            return None;
        };
        let membership = self.log.membership();
        let mut values: Vec<T> = membership
            .voters()
            .map(|voter| {
                if voter.id == self.config.id {
                    return value(self, None);
                }
                let progress = leader_state.progress.get(&voter.id);
                let known =
                    progress.filter(|p| self.counts_as_voter(membership, voter.id, p.identity));
                known.map_or(missing, |progress| value(self, Some(progress)))
            })
            .collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(membership.quorum() - 1).copied()
    }

    /// The time at which the leader sent the latest round that a majority
    /// acknowledged.
    fn quorum_round_sent_at(&self, now: Duration) -> Option<Duration> {
        self.quorum_value(None, |_, progress| match progress {
            Some(progress) => progress.round_sent_at,
            None => Some(now),
        })?
    }

    pub(super) fn last_quorum_contact(&self) -> Duration {
        let State::Leader(leader_state) = &self.state else {
            return Duration::ZERO;
        };
        self.quorum_round_sent_at(self.now)
            .unwrap_or_default()
            .max(leader_state.requested_at)
    }

    /// See [`Core::holds_leader_lease_at`].
    pub(super) fn holds_leader_lease(&self) -> bool {
        self.holds_leader_lease_at(self.now)
    }

    /// Whether this member is the leader and no other leader can have been
    /// elected by `now`. The leader may still not know all committed entries;
    /// [`CoreStatus::leader_lease_until`](super::CoreStatus::leader_lease_until)
    /// also requires that.
    pub fn holds_leader_lease_at(&self, now: Duration) -> bool {
        self.leader_lease_start(now)
            .is_some_and(|sent| now < sent + self.config.timing.leader_lease())
    }

    /// Start of the leader lease; `None` if there is no lease to rely on.
    fn leader_lease_start(&self, now: Duration) -> Option<Duration> {
        let ended =
            self.is_transferring_leadership() && self.config.protections.transfer_ends_lease;
        self.quorum_round_sent_at(now).filter(|_| !ended)
    }

    /// End of the leader lease; `None` until an entry of the leader's own term
    /// is committed, as the leader may not know all committed entries before.
    pub(super) fn leader_lease_until(&self) -> Option<Duration> {
        let sent = self
            .leader_lease_start(self.now)
            .filter(|_| self.has_committed_own_term());
        sent.map(|sent| sent + self.config.timing.leader_lease())
    }

    /// Whether this leader's commit index covers all entries of earlier terms.
    pub(super) fn has_committed_own_term(&self) -> bool {
        match &self.state {
            State::Leader(leader_state) => self.commit >= leader_state.first_index,
            _ => false,
        }
    }

    /// Renews the leader's own member lease, under the conditions for granting
    /// leases to other members.
    pub(super) fn renew_own_lease(&mut self) {
        if self.has_committed_own_term() && self.holds_leader_lease() {
            let until = self.now + self.config.timing.member_lease;
            let apply_before_lease_resumes = self.config.protections.apply_before_lease_resumes;
            self.lease
                .extend(until, self.commit, self.now, apply_before_lease_resumes);
        }
    }
}
