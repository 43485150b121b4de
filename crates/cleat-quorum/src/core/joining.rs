//! How members that the settings do not list enter and leave the group.

use std::collections::BTreeSet;

use super::message::Body;
use super::types::{MemberId, Membership};
use super::{Core, State};

impl Core {
    /// Asks the seeds, and the members as far as they are known, for a place.
    pub(super) fn ask_to_join(&mut self) {
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

    /// Takes a joiner in, or passes its wish on once.
    pub(super) fn on_join(&mut self, from: MemberId, id: MemberId) {
        if self.config.join.is_none() || !self.is_formed() {
            return;
        }
        if matches!(self.state, State::Leader(_)) {
            if self.log.membership().get(id).is_none() {
                self.joiners.insert(id);
            }
            return self.maintain_membership();
        }
        if let Some(leader) = self.leader.filter(|_| from == id) {
            self.send(leader, Body::Join(id));
        }
    }

    /// The members that the group should have.
    pub(super) fn wanted_members(&self) -> BTreeSet<MemberId> {
        let configured = self.config.members.iter().map(|member| member.id);
        let mut wanted: BTreeSet<MemberId> = configured.collect();
        if self.config.join.is_some() {
            let members = &self.log.membership().members;
            wanted.extend(members.iter().map(|member| member.id));
            wanted.extend(&self.joiners);
        }
        wanted
    }

    /// Whether a member should vote. One that joined by itself has a disk.
    pub(super) fn wants_vote(&self, id: MemberId) -> bool {
        self.config.join.is_some() || self.config.is_voter(id)
    }

    /// A voter beyond the number to keep that has been silent for too long,
    /// so that a machine replaced by another stops counting for the majority.
    pub(super) fn silent_surplus(&mut self, membership: &Membership) -> Option<MemberId> {
        let join = self.config.join?;
        if membership.voters().count() <= join.target_voters {
            return None;
        }
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let heard = |id: MemberId| {
            let progress = leadership.progress.get(&id);
            let sent = progress.and_then(|progress| progress.round_sent);
            sent.unwrap_or_default().max(leadership.asked_at)
        };
        let silent = membership
            .voters()
            .map(|voter| voter.id)
            .filter(|id| *id != self.config.id)
            .find(|id| self.now > heard(*id) + join.extra_voter_timeout)?;
        self.joiners.remove(&silent);
        Some(silent)
    }
}
