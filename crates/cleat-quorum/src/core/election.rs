//! Pre-votes, votes, and the rejection of votes while a leader is live.

use std::collections::BTreeSet;

use super::durability::Deferred;
use super::message::{Body, VoteReply, VoteRequest};
use super::types::{HardState, MemberId, Membership, Term};
use super::{Core, State};

impl Core {
    /// Starts a pre-vote, which finds out whether an election could be won
    /// without raising the term of any member.
    pub(super) fn start_pre_vote(&mut self) {
        self.schedule_election_retry();
        self.leader = None;
        // The group may have removed this member while it was unreachable.
        self.request_join();
        if !self.is_voter() {
            return;
        }
        self.state = State::PreCandidate {
            votes: BTreeSet::new(),
        };
        self.request_votes(true, false);
        self.count_vote(self.config.id);
    }

    /// Starts an election in the next term. `transfer` is set if the leader of
    /// this term requested the election.
    pub(super) fn start_election(&mut self, transfer: bool) {
        let term = self.hard_state.term + 1;
        self.set_hard_state(HardState {
            term,
            voted_for: Some(self.config.id),
        });
        self.schedule_election_retry();
        self.state = State::Candidate {
            votes: BTreeSet::new(),
            requested_at: self.now,
        };
        self.request_votes(false, transfer);
        if self.config.protections.sync_before_send {
            self.durability.defer(Deferred::OwnVote { term });
        } else {
            self.count_vote(self.config.id);
        }
    }

    fn request_votes(&mut self, pre: bool, transfer: bool) {
        let term = self.hard_state.term + Term::from(pre);
        let membership = self.log.membership().clone();
        let own = self.config.id;
        for voter in membership.voters().filter(|voter| voter.id != own) {
            let req = VoteRequest {
                pre,
                transfer,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                voter_identity: voter.identity,
            };
            let message = self.message(voter.id, term, Body::VoteRequest(req));
            self.send_durable(message);
        }
    }

    /// Counts a vote and moves to the next phase once a majority is reached.
    pub(super) fn count_vote(&mut self, from: MemberId) {
        let quorum = self.log.membership().quorum();
        match &mut self.state {
            State::PreCandidate { votes } => {
                votes.insert(from);
                if votes.len() >= quorum {
                    self.start_election(false);
                }
            }
            State::Candidate {
                votes,
                requested_at,
            } => {
                votes.insert(from);
                if votes.len() >= quorum {
                    let requested_at = *requested_at;
                    self.become_leader(requested_at);
                }
            }
            State::Follower | State::Leader(_) => {}
        }
    }

    pub(super) fn on_vote_request(&mut self, from: MemberId, term: Term, req: &VoteRequest) {
        // After a leadership transfer, the old leader no longer relies on its
        // lease, so there is no need to reject. A transfer request from an
        // earlier term is rejected as stale below.
        let leader_transferred = req.transfer && !req.pre;
        if !self.matches_identity(req) || (self.must_reject_votes() && !leader_transferred) {
            return;
        }
        if term < self.hard_state.term {
            return self.reply_vote(from, self.hard_state.term, req.pre, false);
        }
        if req.pre {
            let granted = term > self.hard_state.term && self.is_up_to_date(req);
            let reply_term = if granted { term } else { self.hard_state.term };
            return self.reply_vote(from, reply_term, true, granted);
        }
        self.observe_term(term);
        let granted = self.grant_vote(from, req);
        self.reply_vote(from, term, false, granted);
    }

    /// Whether the request names this member's disk identity. The right to vote
    /// is bound to one disk: a member that lost its disk may have voted in this
    /// term without knowing.
    fn matches_identity(&self, req: &VoteRequest) -> bool {
        req.voter_identity == self.identity || !self.config.protections.identity_check
    }

    /// Whether a live leader may rely on this member not to elect another
    /// leader.
    fn must_reject_votes(&self) -> bool {
        if !self.config.protections.leader_stickiness {
            return false;
        }
        match &self.state {
            State::Leader(_) => self.holds_leader_lease(),
            _ => self.now < self.reject_votes_until && !self.is_sole_voter(),
        }
    }

    fn is_up_to_date(&self, req: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (req.last_term, req.last_index) >= own || !self.config.protections.log_check
    }

    fn grant_vote(&mut self, from: MemberId, req: &VoteRequest) -> bool {
        let HardState { term, voted_for } = self.hard_state;
        let may_grant = voted_for.is_none_or(|candidate| candidate == from);
        if !may_grant || !self.is_up_to_date(req) || !matches!(self.state, State::Follower) {
            return false;
        }
        if voted_for.is_none() {
            self.set_hard_state(HardState {
                term,
                voted_for: Some(from),
            });
        }
        self.reset_election_timeout();
        true
    }

    fn reply_vote(&mut self, to: MemberId, term: Term, pre: bool, granted: bool) {
        let reply = VoteReply {
            pre,
            granted,
            identity: self.identity,
        };
        let message = self.message(to, term, Body::VoteReply(reply));
        self.send_durable(message);
    }

    pub(super) fn on_vote_reply(&mut self, from: MemberId, term: Term, reply: &VoteReply) {
        if !reply.granted {
            return self.observe_term(term);
        }
        let expected = match self.state {
            State::PreCandidate { .. } => reply.pre && term == self.hard_state.term + 1,
            State::Candidate { .. } => !reply.pre && term == self.hard_state.term,
            State::Follower | State::Leader(_) => false,
        };
        let counts = self.counts_as_voter(self.log.membership(), from, reply.identity);
        if expected && counts {
            self.count_vote(from);
        }
    }

    /// Whether a member counts towards a majority under the given identity.
    pub(super) fn counts_as_voter(
        &self,
        membership: &Membership,
        id: MemberId,
        identity: u64,
    ) -> bool {
        if !self.config.protections.identity_check {
            return membership.get(id).is_some_and(|member| member.votes);
        }
        membership.is_voter(id, identity)
    }
}
