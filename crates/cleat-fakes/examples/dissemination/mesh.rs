//! Eager push in a random mesh with lazy announcements.
//!
//! After "Generalized Gossipsub", sections "The CHOKE Message" and "Message
//! Processing": a member that gets a change a second time chokes the link it
//! came by; over a choked link only the id is announced (IHAVE), and who lacks
//! the change asks for it (IWANT).

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::tally::{Outcome, Tally};
use super::{CHANGE_BYTES, ID_BYTES};

const DEGREE: usize = 4;
/// Changes before the counted ones, in which links get choked.
const WARM_UP: u64 = 10;
const COUNTED: u64 = 10;

enum Frame {
    Full,
    Have,
    Want,
}

struct Sent {
    from: usize,
    to: usize,
    frame: Frame,
    hops: u32,
}

struct Mesh {
    neighbours: Vec<Vec<usize>>,
    /// `choked[a]` holds `b` if `b` has choked what `a` sends it.
    choked: Vec<Vec<usize>>,
    frozen: Option<usize>,
}

pub(crate) fn run(members: usize, frozen: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut mesh = Mesh::new(members, &mut rng);
    let mut tally = Tally::new(members);
    for _ in 0..WARM_UP {
        mesh.spread(&mut tally);
    }
    mesh.frozen = frozen.then(|| rng.random_range(1..members));
    tally = Tally::new(members);
    let mut hops = Vec::new();
    for _ in 0..COUNTED {
        hops = mesh.spread(&mut tally);
    }
    tally.outcome(&hops, mesh.frozen, COUNTED)
}

impl Mesh {
    /// A ring, so that every member is connected, and random links.
    fn new(members: usize, rng: &mut StdRng) -> Mesh {
        let mut mesh = Mesh {
            neighbours: vec![Vec::new(); members],
            choked: vec![Vec::new(); members],
            frozen: None,
        };
        for i in 0..members {
            mesh.link(i, (i + 1) % members);
        }
        for i in 0..members {
            while mesh.neighbours[i].len() < DEGREE {
                mesh.link(i, rng.random_range(0..members));
            }
        }
        mesh
    }

    fn link(&mut self, a: usize, b: usize) {
        if a != b && !self.neighbours[a].contains(&b) {
            self.neighbours[a].push(b);
            self.neighbours[b].push(a);
        }
    }

    /// Brings one change from member 0 to the others; gives the hops to each.
    fn spread(&mut self, tally: &mut Tally) -> Vec<Option<u32>> {
        let mut hops = vec![None; self.neighbours.len()];
        hops[0] = Some(0);
        let mut queue = VecDeque::new();
        self.forward(0, None, 0, tally, &mut queue);
        while let Some(sent) = queue.pop_front() {
            if Some(sent.to) != self.frozen {
                self.receive(&sent, &mut hops, tally, &mut queue);
            }
        }
        hops
    }

    fn receive(
        &mut self,
        sent: &Sent,
        hops: &mut [Option<u32>],
        tally: &mut Tally,
        queue: &mut VecDeque<Sent>,
    ) {
        let (from, to, next) = (sent.from, sent.to, sent.hops + 1);
        match sent.frame {
            Frame::Full if hops[to].is_none() => {
                hops[to] = Some(sent.hops);
                self.forward(to, Some(from), sent.hops, tally, queue);
            }
            Frame::Full => self.choke(from, to, tally),
            Frame::Have if hops[to].is_none() => {
                self.send(to, from, Frame::Want, next, tally, queue);
            }
            Frame::Have => {}
            Frame::Want => self.send(to, from, Frame::Full, next, tally, queue),
        }
    }

    fn choke(&mut self, from: usize, to: usize, tally: &mut Tally) {
        if !self.choked[from].contains(&to) {
            self.choked[from].push(to);
            tally.send(to, 0);
        }
    }

    fn forward(
        &self,
        at: usize,
        except: Option<usize>,
        hops: u32,
        tally: &mut Tally,
        queue: &mut VecDeque<Sent>,
    ) {
        for &to in self.neighbours[at].iter().filter(|to| Some(**to) != except) {
            let frame = match self.choked[at].contains(&to) {
                true => Frame::Have,
                false => Frame::Full,
            };
            self.send(at, to, frame, hops + 1, tally, queue);
        }
    }

    fn send(
        &self,
        from: usize,
        to: usize,
        frame: Frame,
        hops: u32,
        tally: &mut Tally,
        queue: &mut VecDeque<Sent>,
    ) {
        let payload = match frame {
            Frame::Full => CHANGE_BYTES,
            Frame::Have | Frame::Want => ID_BYTES,
        };
        tally.send(from, payload);
        queue.push_back(Sent {
            from,
            to,
            frame,
            hops,
        });
    }
}
