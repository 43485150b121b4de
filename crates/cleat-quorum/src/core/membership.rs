//! Membership changes, one at a time.

use super::event::Rejection;
use super::lease::PeerLease;
use super::progress::Progress;
use super::types::{Member, MemberId, Membership, Payload};
use super::{Core, Effect, State};

/// Maximum number of entries by which a member may lag to become a voter.
const CAUGHT_UP_MAX_LAG: u64 = 256;

impl Core {
    pub(super) fn remove_member(&mut self, id: MemberId) {
        if !matches!(self.state, State::Leader(_)) {
            let rejection = Rejection::NotLeader {
                leader: self.leader,
            };
            return self.effects.push(Effect::Rejected(rejection));
        }
        if !self.may_change_membership() || self.log.membership().get(id).is_none() {
            return self.effects.push(Effect::Rejected(Rejection::Busy));
        }
        let next = self.log.membership().without(id);
        self.change_membership(next);
    }

    /// Whether a membership change may start. The previous change and the
    /// leader's first entry must be committed: otherwise two majorities might
    /// not overlap.
    fn may_change_membership(&self) -> bool {
        let committed = self.log.membership_index() <= self.commit;
        committed && self.has_committed_own_term() && self.holds_leader_lease()
    }

    /// Brings the membership one step closer to the target: adds a missing
    /// member, demotes a voter that lost its disk, or promotes a learner that
    /// has caught up. If none of these applies, removes an extra voter that is
    /// silent.
    pub(super) fn reconcile_membership(&mut self) {
        if !matches!(self.state, State::Leader(_)) || !self.may_change_membership() {
            return;
        }
        let membership = self.log.membership().clone();
        let target = self.target_members();
        let change = target
            .iter()
            .find_map(|id| self.next_member_change(&membership, *id));
        if let Some(member) = change {
            self.change_membership(membership.with(member));
        } else if let Some(id) = self.silent_extra_voter(&membership) {
            self.change_membership(membership.without(id));
        }
    }

    /// Returns the updated record of a member whose record differs from its
    /// target.
    fn next_member_change(&self, membership: &Membership, id: MemberId) -> Option<Member> {
        let retired = membership.retired.contains(&id) && !self.joiners.contains(&id);
        if id == self.config.id || retired {
            return None;
        }
        let Some(record) = membership.get(id) else {
            return Some(Member {
                id,
                identity: 0,
                votes: false,
            });
        };
        let State::Leader(leader_state) = &self.state else {
            return None;
        };
        let progress = leader_state.progress.get(&id)?;
        let identity = progress.identity;
        let caught_up =
            progress.matched > 0 && progress.matched + CAUGHT_UP_MAX_LAG >= self.log.last_index();
        if !self.should_vote(id) || !caught_up || !progress.peer_lease.may_hold_lease(self.now) {
            return None;
        }
        let lost_disk = record.votes && record.identity != identity;
        let due = !record.votes || lost_disk;
        due.then_some(Member {
            id,
            identity,
            votes: !record.votes,
        })
    }

    fn change_membership(&mut self, next: Membership) {
        let last = self.log.last_index();
        let until = self.now + self.config.timing.member_lease_with_drift();
        if let State::Leader(leader_state) = &mut self.state {
            for member in next
                .members
                .iter()
                .filter(|member| member.id != self.config.id)
            {
                leader_state
                    .progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(last + 1, PeerLease::inherited(until)));
            }
        }
        self.append_as_leader(vec![Payload::Membership(next)]);
    }
}
