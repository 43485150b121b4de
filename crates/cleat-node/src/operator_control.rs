//! The control interface of the APIs for operators and targets.

use std::sync::Weak;
use std::time::Duration;

use cleat_link::{MemberReport, PeerError, Proposed, Renewal, RenewalOutcome};
use cleat_operate::{ControlError, ControlPlane, InstanceStatus, Role};
use cleat_quorum::BootTime;
use cleat_world::{CommandBody, World};
use indexmap::IndexMap;

use crate::leader_calls::{Leader, LeaderCallError, classify};
use crate::node::Node;

/// The time limit for listing the members.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(1_000);

impl ControlPlane for Node {
    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R {
        self.world.read(read)
    }

    async fn propose(&self, body: CommandBody) -> Result<Proposed, ControlError> {
        self.propose_to_leader(body).await
    }

    async fn wait_in_force(&self, index: u64) -> Result<(), ControlError> {
        self.wait_in_force_on_leader(index).await
    }

    async fn catch_up(&self) -> Result<(), ControlError> {
        self.catch_up_with_leader().await
    }

    async fn renew(&self, renewal: Renewal) -> Result<RenewalOutcome, ControlError> {
        self.renewals.renew(renewal).await
    }

    fn status(&self) -> InstanceStatus {
        let status = self.replica.status();
        InstanceStatus {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            role: role(status.role()),
            term: status.term(),
            leader: self.leader_name(&status),
            applied: status.applied_index(),
            in_service: self.in_service(),
        }
    }

    async fn members(&self) -> Result<Vec<MemberReport>, ControlError> {
        self.call_leader(|leader| async move {
            let result = match leader {
                Leader::Local => self.members_local().map_err(LeaderCallError::Peer),
                Leader::Remote(link) => link
                    .members(MEMBERS_TIMEOUT)
                    .await
                    .map_err(LeaderCallError::from),
            };
            classify(result, true)
        })
        .await
    }

    fn data_centre_of(&self, entry: &str) -> Option<Box<str>> {
        let info = self.members.by_name(entry)?;
        Some(info.data_centre.clone())
    }

    fn metrics(&self) -> IndexMap<Box<str>, u64> {
        let mut metrics = self.counters.snapshot();
        if let Some(entry) = self.entry.get().and_then(Weak::upgrade) {
            metrics.extend(entry.counters());
        }
        let traffic = self.links.traffic().snapshot();
        metrics.insert("link.sent_bytes".into(), traffic.sent_bytes);
        metrics.insert("link.sent_frames".into(), traffic.sent_frames);
        metrics.insert("link.received_bytes".into(), traffic.received_bytes);
        metrics.insert("link.received_frames".into(), traffic.received_frames);
        metrics
    }
}

impl Node {
    /// The state of all members as seen by the leader; fails unless this instance
    /// leads.
    pub(crate) fn members_local(&self) -> Result<Vec<MemberReport>, PeerError> {
        let status = self.replica.status();
        if !status.holds_leader_lease(BootTime::now()) {
            let leader = self.leader_name(&status);
            return Err(PeerError::NotLeader { leader });
        }
        let report = |member: &cleat_quorum::MemberStatus| MemberReport {
            name: self.members.name(member.id).unwrap_or("?").into(),
            applied: member.applied,
            lease_live: member.may_hold_lease,
            votes: member.votes,
        };
        Ok(status.members().iter().map(report).collect())
    }
}

fn role(role: cleat_quorum::Role) -> Role {
    match role {
        cleat_quorum::Role::Leader => Role::Leader,
        cleat_quorum::Role::Follower => Role::Follower,
        cleat_quorum::Role::Candidate => Role::Candidate,
        cleat_quorum::Role::Uninitialized | cleat_quorum::Role::Learner => Role::Learner,
    }
}
