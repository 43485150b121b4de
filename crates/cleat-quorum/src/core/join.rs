//! Members that join and leave at run time without being listed in the
//! settings.

use std::collections::BTreeSet;

use super::message::Body;
use super::types::{MemberId, Membership};
use super::{Core, State};

impl Core {
    /// Sends a join request to the seeds and all known members.
    pub(super) fn request_join(&mut self) {
        if self.config.join.is_none() {
            return;
        }
        let own = self.config.id;
        let seeds = self.config.members.iter().map(|member| member.id);
        let members = self.log.membership().members.iter().map(|member| member.id);
        let contacts: BTreeSet<MemberId> = seeds.chain(members).filter(|id| *id != own).collect();
        for id in contacts {
            self.send(id, Body::Join(own));
        }
    }

    /// Records the join request on the leader. Other members forward a request
    /// to the leader, but only if it comes directly from the joining member.
    pub(super) fn on_join(&mut self, from: MemberId, id: MemberId) {
        if self.config.join.is_none() || !self.is_initialized() {
            return;
        }
        if matches!(self.state, State::Leader(_)) {
            if self.log.membership().get(id).is_none() {
                self.joiners.insert(id);
            }
            return self.reconcile_membership();
        }
        if let Some(leader) = self.leader.filter(|_| from == id) {
            self.send(leader, Body::Join(id));
        }
    }

    /// Members that the group should have.
    pub(super) fn target_members(&self) -> BTreeSet<MemberId> {
        let configured = self.config.members.iter().map(|member| member.id);
        let mut target: BTreeSet<MemberId> = configured.collect();
        if self.config.join.is_some() {
            let members = &self.log.membership().members;
            target.extend(members.iter().map(|member| member.id));
            target.extend(&self.joiners);
        }
        target
    }

    /// Whether a member should be a voter. Every member that joins at run time
    /// has a disk and becomes one.
    pub(super) fn should_vote(&self, id: MemberId) -> bool {
        self.config.join.is_some() || self.config.is_voter(id)
    }

    /// Finds a voter in excess of the target number that has been silent for
    /// too long. Its removal stops a machine that was replaced from counting
    /// towards the majority.
    pub(super) fn silent_extra_voter(&mut self, membership: &Membership) -> Option<MemberId> {
        let join = self.config.join?;
        if membership.voters().count() <= join.target_voters {
            return None;
        }
        let State::Leader(leader_state) = &self.state else {
            return None;
        };
        let last_contact = |id: MemberId| {
            let progress = leader_state.progress.get(&id);
            let sent = progress.and_then(|progress| progress.round_sent_at);
            sent.unwrap_or_default().max(leader_state.requested_at)
        };
        let silent = membership
            .voters()
            .map(|voter| voter.id)
            .filter(|id| *id != self.config.id)
            .find(|id| self.now > last_contact(*id) + join.remove_silent_after)?;
        self.joiners.remove(&silent);
        Some(silent)
    }
}
