//! Faults, and the protocol steps at which they are injected.

use cleat_quorum::{Body, Message, Payload};
use rand::RngExt;

use super::{FAULT_FREE, MILLI, Micros, NetworkConditions, Occurrence, SECOND, World};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Crash,
    LoseDisk,
    CutInbound,
    CutOutbound,
    CutBoth,
    Pause,
    Duplicate,
    Delay,
    Reorder,
    /// A crash, and another fault on a random member soon after the first one
    /// restarts.
    Compound,
}

impl Fault {
    pub(crate) const ALL: [Fault; 10] = {
        use Fault::{Compound, Crash, LoseDisk, Pause, Reorder};
        use Fault::{CutBoth, CutInbound, CutOutbound, Delay, Duplicate};
        [
            Crash,
            LoseDisk,
            CutInbound,
            CutOutbound,
            CutBoth,
            Pause,
            Duplicate,
            Delay,
            Reorder,
            Compound,
        ]
    };
}

/// Steps of the protocol.
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

const DUPLICATING: NetworkConditions = NetworkConditions {
    duplicate: 0.5,
    ..FAULT_FREE
};
const DELAYING: NetworkConditions = NetworkConditions {
    delay: 0.3,
    drop: 0.1,
    ..FAULT_FREE
};
const REORDERING: NetworkConditions = NetworkConditions {
    reorder: 0.7,
    ..FAULT_FREE
};

impl World {
    /// Injects a fault. Returns false if the fault is not possible, or is more
    /// than the protocol tolerates.
    pub(super) fn inject(&mut self, at: usize, fault: Fault) -> bool {
        let fault_duration = self.rng.random_range(50 * MILLI..4 * SECOND);
        match fault {
            Fault::Crash => self.crash(at, fault_duration),
            Fault::LoseDisk => {
                if !self.can_lose_disk(at) {
                    return false;
                }
                self.crash(at, fault_duration);
                self.voter_disks_lost += u32::from(self.nodes[at].votes);
                self.nodes[at].disk = super::node::Disk::default();
            }
            Fault::CutInbound => self.cut(at, true, false, fault_duration),
            Fault::CutOutbound => self.cut(at, false, true, fault_duration),
            Fault::CutBoth => self.cut(at, true, true, fault_duration),
            Fault::Pause => {
                if self.nodes[at].core.is_none() {
                    return false;
                }
                self.nodes[at].paused = true;
                self.after(fault_duration, Occurrence::Resume(at));
            }
            Fault::Duplicate => self.set_conditions(DUPLICATING, fault_duration),
            Fault::Delay => self.set_conditions(DELAYING, fault_duration),
            Fault::Reorder => self.set_conditions(REORDERING, fault_duration),
            Fault::Compound => {
                self.crash(at, fault_duration);
                let node = self.rng.random_range(0..self.nodes.len());
                let fault = Fault::ALL[self.rng.random_range(0..Fault::ALL.len() - 1)];
                let delay = fault_duration + self.rng.random_range(0..SECOND);
                self.after(delay, Occurrence::Inject(node, fault));
            }
        }
        true
    }

    fn crash(&mut self, at: usize, fault_duration: Micros) {
        let World { nodes, rng, .. } = self;
        nodes[at].crash(rng);
        self.after(fault_duration, Occurrence::Restart(at));
    }

    fn cut(&mut self, at: usize, inbound: bool, outbound: bool, fault_duration: Micros) {
        // Half of the partitions affect only some of the links.
        let partial = self.rng.random_bool(0.5);
        for other in 0..self.nodes.len() {
            if partial && self.rng.random_bool(0.5) {
                continue;
            }
            let id = self.nodes[other].id;
            if inbound {
                self.nodes[at].blocked_inbound.insert(id);
            }
            if outbound {
                self.nodes[at].blocked_outbound.insert(id);
            }
        }
        self.after(fault_duration, Occurrence::RestoreLinks(at));
    }

    fn set_conditions(&mut self, conditions: NetworkConditions, fault_duration: Micros) {
        self.conditions = conditions;
        self.after(fault_duration, Occurrence::RestoreNetwork);
    }

    /// Whether this node may lose its disk. The group tolerates the loss of one
    /// voter's disk at a time, and the next one only after the first voter
    /// votes again. Before the bootstrap snapshot is created, only one voter
    /// may lose its disk: a bootstrap snapshot that names two lost disks has no
    /// majority.
    fn can_lose_disk(&self, at: usize) -> bool {
        let lost = |node: &&super::node::Node| {
            let identity = node.disk.identity.unwrap_or_default();
            node.votes && self.checker.is_not_voter(node.id, identity)
        };
        let tolerated = self.checker.is_bootstrapped() || self.voter_disks_lost == 0;
        !self.nodes[at].votes || (tolerated && self.nodes.iter().filter(lost).count() == 0)
    }
}
