//! Changes of the membership, one at a time.

use super::event::Rejection;
use super::lease::Liveness;
use super::progress::Progress;
use super::types::{Member, MemberId, Membership, Payload};
use super::{Core, Effect, State};

/// How many entries a member may lag and still be made a voter.
const CAUGHT_UP_GAP: u64 = 256;

impl Core {
    pub(super) fn remove(&mut self, id: MemberId) {
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

    /// A change begins only when the one before is committed, and after the
    /// leader's first entry: otherwise two majorities might not overlap.
    fn may_change_membership(&self) -> bool {
        let settled = self.log.membership_index() <= self.commit;
        settled && self.has_committed_own_term() && self.holds_leader_lease()
    }

    /// Brings the membership closer to the settings by one step: adds members
    /// that are missing, takes the vote from a lost disk, and gives a vote to
    /// a member that caught up.
    pub(super) fn maintain_membership(&mut self) {
        if !matches!(self.state, State::Leader(_)) || !self.may_change_membership() {
            return;
        }
        let membership = self.log.membership().clone();
        let wanted = self.wanted_members();
        let change = wanted
            .iter()
            .find_map(|id| self.next_record(&membership, *id));
        if let Some(member) = change {
            self.change_membership(membership.with(member));
        } else if let Some(id) = self.silent_surplus(&membership) {
            self.change_membership(membership.without(id));
        }
    }

    /// The record of a member that differs from what it should be, if any.
    fn next_record(&self, membership: &Membership, id: MemberId) -> Option<Member> {
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
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let progress = leadership.progress.get(&id)?;
        let identity = progress.identity;
        let caught_up =
            progress.matched > 0 && progress.matched + CAUGHT_UP_GAP >= self.log.last_index();
        if !self.wants_vote(id) || !caught_up || !progress.live.may_hold_lease(self.now) {
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
        if let State::Leader(leadership) = &mut self.state {
            for member in next
                .members
                .iter()
                .filter(|member| member.id != self.config.id)
            {
                leadership
                    .progress
                    .entry(member.id)
                    .or_insert_with(|| Progress::new(last + 1, Liveness::inherited(until)));
            }
        }
        self.append_own(vec![Payload::Membership(next)]);
    }
}
