//! Decides whether a call is forwarded or redirected while no leader is reached.
//!
//! See `docs/design/partitioned-control.md`.

#[cfg(test)]
mod tests;

use std::time::Duration;

use cleat_quorum::{Body, MemberId, Message, Timing};
use indexmap::IndexMap;

/// The maximum number of members whose last message is remembered. A group has 5 to 7
/// members; the bound holds if senders announce arbitrary IDs.
const MAX_HEARD: usize = 64;

/// What to do with a call that this instance can't answer itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// Forward it: a leader is reached, or can be elected on this side of the partition.
    Forward,
    /// Do not forward it. A caller may be redirected to the member, if there is one.
    NoLeader { elsewhere: Option<MemberId> },
}

/// What an instance knows about its contact with the group.
///
/// Times are measured from any fixed origin.
#[derive(Debug)]
pub(crate) struct GroupContact {
    own: MemberId,
    majority: usize,
    timing: Timing,
    /// The time of the last message or answer of a leader, initially the start of the instance.
    leader_at: Duration,
    /// When a call last found no leader, unless one was answered since.
    failed_at: Option<Duration>,
    /// The time of the last message of each member.
    heard: IndexMap<MemberId, Duration>,
    /// The number of redirects so far. It selects the next target, so that targets are
    /// used in turn.
    redirects: usize,
}

impl GroupContact {
    /// Creates the state of the instance `own` in a group with `voters` voters.
    pub(crate) fn new(own: MemberId, voters: usize, timing: Timing, now: Duration) -> GroupContact {
        GroupContact {
            own,
            majority: voters / 2 + 1,
            timing,
            leader_at: now,
            failed_at: None,
            heard: IndexMap::new(),
            redirects: 0,
        }
    }

    /// Records a message of another member.
    pub(crate) fn record_message(&mut self, message: &Message, now: Duration) {
        if matches!(message.body, Body::Append(_) | Body::InstallSnapshot(_)) {
            self.leader_at = now;
        }
        self.heard.insert(message.from, now);
        if self.heard.len() > MAX_HEARD {
            let oldest = self.heard.iter().min_by_key(|(_, at)| **at);
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.heard.swap_remove(&id);
            }
        }
    }

    /// Records that a call reached a leader.
    pub(crate) fn record_leader(&mut self, now: Duration) {
        self.leader_at = now;
        self.failed_at = None;
    }

    /// Records that a call reached no leader within its time limit.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// Decides about a call. `members` are the known members of the group;
    /// `has_lost_lease` is set on a leader whose lease has run out.
    ///
    /// Every member acknowledges each heartbeat of a leader, so a leader whose lease has
    /// run out can tell earlier than others which members are silent.
    ///
    /// Calls are redirected only if this side of a partition has no majority: if it has
    /// one, an election ends here soon, and the silent member may be a dead machine.
    pub(crate) fn route(&self, members: &[MemberId], has_lost_lease: bool, now: Duration) -> Route {
        let window = if has_lost_lease {
            self.timing.election_timeout_min
        } else {
            self.timing.election_timeout_max
        };
        let since = now.saturating_sub(window);
        let reaches_leader = !has_lost_lease && !self.is_without_leader(now);
        if reaches_leader || self.count_heard(since) >= self.majority {
            return Route::Forward;
        }
        let is_silent = |id: &&MemberId| **id != self.own && !self.was_heard(**id, since);
        let targets: Vec<MemberId> = members.iter().filter(is_silent).copied().collect();
        let elsewhere = targets.get(self.redirects % targets.len().max(1)).copied();
        Route::NoLeader { elsewhere }
    }

    /// Records that a caller was redirected, so that the next one is sent elsewhere.
    pub(crate) fn record_redirect(&mut self) {
        self.redirects = self.redirects.wrapping_add(1);
    }

    /// Whether no leader was heard of within an election timeout, or a call just found
    /// none. The second condition covers followers of a leader without a majority,
    /// which sends heartbeats until its election timeout has passed. It expires, so
    /// that a call finds out whether it still holds.
    fn is_without_leader(&self, now: Duration) -> bool {
        let silent = now.saturating_sub(self.leader_at) >= self.timing.election_timeout_max;
        let failed = self
            .failed_at
            .is_some_and(|at| now.saturating_sub(at) < self.timing.election_timeout_min);
        silent || failed
    }

    /// The number of members heard after `since`, including this one.
    fn count_heard(&self, since: Duration) -> usize {
        let others = self.heard.keys().filter(|id| **id != self.own);
        1 + others.filter(|id| self.was_heard(**id, since)).count()
    }

    fn was_heard(&self, id: MemberId, since: Duration) -> bool {
        self.heard.get(&id).is_some_and(|at| *at > since)
    }
}
