//! The faults, and the named steps of the protocol at which they inject.

use cleat_quorum::{Body, Message, Payload};
use rand::RngExt;

use super::{Conditions, MILLI, Micros, NORMAL, Occurrence, SECOND, World};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill,
    LostDisk,
    CutIn,
    CutOut,
    CutBoth,
    Freeze,
    Duplicate,
    Delay,
    Reorder,
    /// A kill, and another fault elsewhere while the first recovers.
    Second,
}

impl Fault {
    pub(crate) const ALL: [Fault; 10] = {
        use Fault::{CutBoth, CutIn, CutOut, Delay, Duplicate};
        use Fault::{Freeze, Kill, LostDisk, Reorder, Second};
        [
            Kill, LostDisk, CutIn, CutOut, CutBoth, Freeze, Duplicate, Delay, Reorder, Second,
        ]
    };
}

/// The steps of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Hello,
    Bootstrap,
    PreVote,
    VoteRequest,
    VoteReply,
    Append,
    LeaseEcho,
    Ack,
    Snapshot,
    ReleaseLease,
    TimeoutNow,
    Membership,
    Sync,
}

impl Step {
    pub(crate) const ALL: [Step; 13] = [
        Step::Hello,
        Step::Bootstrap,
        Step::PreVote,
        Step::VoteRequest,
        Step::VoteReply,
        Step::Append,
        Step::LeaseEcho,
        Step::Ack,
        Step::Snapshot,
        Step::ReleaseLease,
        Step::TimeoutNow,
        Step::Membership,
        Step::Sync,
    ];

    pub(crate) fn of(message: &Message) -> Step {
        match &message.body {
            Body::Hello(_) | Body::Join(_) => Step::Hello,
            Body::Bootstrap(_) => Step::Bootstrap,
            Body::VoteRequest(req) if req.pre => Step::PreVote,
            Body::VoteRequest(_) => Step::VoteRequest,
            Body::VoteReply(_) => Step::VoteReply,
            Body::Append(append) if carries_membership(append) => Step::Membership,
            Body::Append(append) if !append.entries.is_empty() => Step::Append,
            Body::Append(_) => Step::LeaseEcho,
            Body::Ack(_) => Step::Ack,
            Body::InstallSnapshot(_) => Step::Snapshot,
            Body::ReleaseLease(_) => Step::ReleaseLease,
            Body::TimeoutNow => Step::TimeoutNow,
        }
    }
}

fn carries_membership(append: &cleat_quorum::Append) -> bool {
    let mut payloads = append.entries.iter().map(|entry| &entry.payload);
    payloads.any(|payload| matches!(payload, Payload::Membership(_)))
}

const DUPLICATING: Conditions = Conditions {
    duplicate: 0.5,
    ..NORMAL
};
const DELAYING: Conditions = Conditions {
    delay: 0.3,
    drop: 0.1,
    ..NORMAL
};
const REORDERING: Conditions = Conditions {
    reorder: 0.7,
    ..NORMAL
};

impl World {
    /// Lets a fault inject; false if it is beyond what may happen.
    pub(super) fn inject(&mut self, at: usize, fault: Fault) -> bool {
        let lasts = self.rng.random_range(50 * MILLI..4 * SECOND);
        match fault {
            Fault::Kill => self.kill(at, lasts),
            Fault::LostDisk => {
                if !self.may_lose_disk(at) {
                    return false;
                }
                self.kill(at, lasts);
                self.voter_disks_lost += u32::from(self.nodes[at].votes);
                self.nodes[at].disk = super::node::Disk::default();
            }
            Fault::CutIn => self.cut(at, true, false, lasts),
            Fault::CutOut => self.cut(at, false, true, lasts),
            Fault::CutBoth => self.cut(at, true, true, lasts),
            Fault::Freeze => {
                if self.nodes[at].core.is_none() {
                    return false;
                }
                self.nodes[at].frozen = true;
                self.after(lasts, Occurrence::Thaw(at));
            }
            Fault::Duplicate => self.set_conditions(DUPLICATING, lasts),
            Fault::Delay => self.set_conditions(DELAYING, lasts),
            Fault::Reorder => self.set_conditions(REORDERING, lasts),
            Fault::Second => {
                self.kill(at, lasts);
                let node = self.rng.random_range(0..self.nodes.len());
                let fault = Fault::ALL[self.rng.random_range(0..Fault::ALL.len() - 1)];
                let soon = lasts + self.rng.random_range(0..SECOND);
                self.after(soon, Occurrence::Inject(node, fault));
            }
        }
        true
    }

    fn kill(&mut self, at: usize, lasts: Micros) {
        let World { nodes, rng, .. } = self;
        nodes[at].kill(rng);
        self.after(lasts, Occurrence::Restart(at));
    }

    fn cut(&mut self, at: usize, cut_in: bool, cut_out: bool, lasts: Micros) {
        // Half of the cuts hit only some of the links.
        let partly = self.rng.random_bool(0.5);
        for other in 0..self.nodes.len() {
            if partly && self.rng.random_bool(0.5) {
                continue;
            }
            let id = self.nodes[other].id;
            if cut_in {
                self.nodes[at].cut_in.insert(id);
            }
            if cut_out {
                self.nodes[at].cut_out.insert(id);
            }
        }
        self.after(lasts, Occurrence::Uncut(at));
    }

    fn set_conditions(&mut self, conditions: Conditions, lasts: Micros) {
        self.conditions = conditions;
        self.after(lasts, Occurrence::Normal);
    }

    /// One voter at a time may lose its disk, and the next only once the
    /// first votes again: more is beyond what the group can survive. Before
    /// the genesis is made, one may; a genesis that names two lost disks has
    /// no majority.
    fn may_lose_disk(&self, at: usize) -> bool {
        let lost = |node: &&super::node::Node| {
            let identity = node.disk.identity.unwrap_or_default();
            node.votes && self.checker.lacks_vote(node.id, identity)
        };
        let sound = self.checker.knows_group() || self.voter_disks_lost == 0;
        !self.nodes[at].votes || (sound && self.nodes.iter().filter(lost).count() == 0)
    }
}
