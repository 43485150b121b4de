//! The faults, and the named steps of the protocol at which they strike.

use cleat_quorum::{Body, Message, Payload};
use rand::RngExt;
use rand::rngs::StdRng;

use super::{Happening, MILLI, Micros, SECOND, Weather, World};

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
    SecondFault,
}

impl Fault {
    pub(crate) const ALL: [Fault; 10] = [
        Fault::Kill,
        Fault::LostDisk,
        Fault::CutIn,
        Fault::CutOut,
        Fault::CutBoth,
        Fault::Freeze,
        Fault::Duplicate,
        Fault::Delay,
        Fault::Reorder,
        Fault::SecondFault,
    ];

    pub(crate) fn random(rng: &mut StdRng) -> Fault {
        Fault::ALL[rng.random_range(0..Fault::ALL.len())]
    }
}

/// The steps of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Hello,
    Genesis,
    PreVote,
    VoteRequest,
    VoteReply,
    Append,
    LeaseEcho,
    Ack,
    Install,
    Release,
    Membership,
    Sync,
}

impl Step {
    pub(crate) const ALL: [Step; 12] = [
        Step::Hello,
        Step::Genesis,
        Step::PreVote,
        Step::VoteRequest,
        Step::VoteReply,
        Step::Append,
        Step::LeaseEcho,
        Step::Ack,
        Step::Install,
        Step::Release,
        Step::Membership,
        Step::Sync,
    ];

    /// Whether the step belongs to the start of the group or of a term, which
    /// a schedule reaches only early.
    pub(crate) fn is_early(self) -> bool {
        use Step::{Genesis, Hello, PreVote, VoteReply, VoteRequest};
        matches!(self, Hello | Genesis | PreVote | VoteRequest | VoteReply)
    }

    pub(crate) fn of(message: &Message) -> Step {
        match &message.body {
            Body::Hello(_) => Step::Hello,
            Body::Genesis(_) => Step::Genesis,
            Body::VoteRequest(req) if req.pre => Step::PreVote,
            Body::VoteRequest(_) => Step::VoteRequest,
            Body::VoteReply(_) => Step::VoteReply,
            Body::Append(append) if carries_membership(append) => Step::Membership,
            Body::Append(append) if !append.entries.is_empty() => Step::Append,
            Body::Append(_) => Step::LeaseEcho,
            Body::Ack(_) => Step::Ack,
            Body::Install(_) => Step::Install,
            Body::Release(_) => Step::Release,
        }
    }
}

fn carries_membership(append: &cleat_quorum::Append) -> bool {
    let mut payloads = append.entries.iter().map(|entry| &entry.payload);
    payloads.any(|payload| matches!(payload, Payload::Membership(_)))
}

impl World {
    pub(super) fn strike(&mut self, at: usize, fault: Fault) {
        let lasts = self.rng.random_range(50 * MILLI..4 * SECOND);
        match fault {
            Fault::Kill => self.kill(at, lasts),
            Fault::LostDisk => {
                if self.may_lose_disk(at) {
                    self.kill(at, lasts);
                    self.nodes[at].disk = super::node::Disk::default();
                }
            }
            Fault::CutIn => self.cut(at, true, false, lasts),
            Fault::CutOut => self.cut(at, false, true, lasts),
            Fault::CutBoth => self.cut(at, true, true, lasts),
            Fault::Freeze => {
                if self.nodes[at].core.is_some() {
                    self.nodes[at].frozen = true;
                    self.after(lasts, Happening::Thaw { node: at });
                }
            }
            Fault::Duplicate => {
                self.turn(Weather { duplicate: 0.5, ..Weather::default() }, lasts);
            }
            Fault::Delay => {
                self.turn(Weather { delay: 0.3, drop: 0.1, ..Weather::default() }, lasts);
            }
            Fault::Reorder => self.turn(Weather { reorder: 0.7, ..Weather::default() }, lasts),
            Fault::SecondFault => {
                self.kill(at, lasts);
                let node = self.rng.random_range(0..self.nodes.len());
                let second = Fault::ALL[self.rng.random_range(0..Fault::ALL.len() - 1)];
                let soon = lasts + self.rng.random_range(0..SECOND);
                self.after(soon, Happening::Strike { node, fault: second });
            }
        }
    }

    fn kill(&mut self, at: usize, lasts: Micros) {
        let World { nodes, rng, .. } = self;
        nodes[at].kill(rng);
        self.after(lasts, Happening::Restart { node: at });
    }

    fn cut(&mut self, at: usize, cut_in: bool, cut_out: bool, lasts: Micros) {
        self.nodes[at].cut_in |= cut_in;
        self.nodes[at].cut_out |= cut_out;
        self.after(lasts, Happening::Uncut { node: at });
    }

    fn turn(&mut self, weather: Weather, lasts: Micros) {
        self.weather = weather;
        self.after(lasts, Happening::Calm);
    }

    /// One voter at a time may lose its disk, or a majority would be gone:
    /// every other voter must hold the vote that the others record.
    fn may_lose_disk(&self, at: usize) -> bool {
        let voters = || self.nodes.iter().filter(|node| node.votes);
        let recorded = voters().filter_map(|node| node.disk.image.as_ref()).count();
        let sound = |node: &&super::node::Node| {
            let identity = node.disk.identity.unwrap_or_default();
            self.checker.membership_votes(node.id, identity)
        };
        let lost = voters().filter(|node| !sound(node)).count();
        !self.nodes[at].votes || (recorded == voters().count() && lost == 0)
    }
}
