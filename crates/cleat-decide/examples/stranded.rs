//! Measures offline how much work has to wait at one entry while a slot is idle
//! at another: static shares of slots against slots lent by demand.
//!
//! `cargo run --release -p cleat-decide --example stranded`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use cleat_decide::{EntryIndex, LeaseTerms, Outgoing, Slot, Slots, TargetKey};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TARGETS: u32 = 10;
const SLOTS: u32 = 8;
const SERVICE_MEAN: Duration = Duration::from_millis(50);
/// Between two data centres, one way.
const ONE_WAY: Duration = Duration::from_micros(1_500);
/// A request that waited this long is refused.
const WAIT_MAX: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);
const REQUESTS: usize = 60_000;
const SEED: u64 = 11;
const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_secs(2),
    max_request_duration: Duration::from_secs(2),
    idle_timeout: Duration::from_millis(20),
};

/// How the balancer spreads requests over the entries.
#[derive(Debug, Clone, Copy)]
enum Spread {
    InTurn,
    Random,
    /// One entry gets half of all.
    Skewed,
}

/// How slots are shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Static,
    Demand,
    /// One entry has everything: the best there can be.
    OneQueue,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    End(usize, Held),
    Deliver(usize),
    Tick(usize),
}

/// A slot in use, by its number in the list of those in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Held(usize);

#[derive(Default)]
struct Figures {
    waits: Vec<Duration>,
    stranded: usize,
    refused: usize,
    messages: usize,
}

struct Node {
    slots: Slots,
    keys: Vec<TargetKey>,
    queue: VecDeque<Duration>,
}

struct Run {
    rng: StdRng,
    now: Duration,
    serial: u64,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    nodes: Vec<Node>,
    wires: Vec<(usize, Outgoing)>,
    slots: Vec<Slot>,
    busy: u32,
    arrived: usize,
    way: Way,
    figures: Figures,
}

impl Run {
    fn new(way: Way, entries: u32) -> Run {
        let names: Vec<Box<str>> = (0..entries).map(|i| format!("e{i}").into()).collect();
        let node = |index| {
            let mut slots = Slots::new(EntryIndex(index), 1, &names, TERMS, Duration::ZERO);
            let key = |i| slots.set_target(&format!("r{i}"), SLOTS, true);
            Node {
                keys: (0..TARGETS).map(key).collect(),
                slots,
                queue: VecDeque::new(),
            }
        };
        Run {
            rng: StdRng::seed_from_u64(SEED),
            now: Duration::ZERO,
            serial: 0,
            steps: BinaryHeap::new(),
            nodes: (0..entries).map(node).collect(),
            wires: Vec::new(),
            slots: Vec::new(),
            busy: 0,
            arrived: 0,
            way,
            figures: Figures::default(),
        }
    }

    fn run(mut self, load: f64, spread: Spread) -> Figures {
        let capacity = f64::from(TARGETS * SLOTS) / SERVICE_MEAN.as_secs_f64();
        let mean_gap = 1.0 / (capacity * load);
        self.plan(Duration::ZERO, Step::Arrive);
        for index in 0..self.nodes.len() {
            self.plan(TICK, Step::Tick(index));
        }
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now = at;
            match step {
                Step::Arrive if self.arrived == REQUESTS => return self.figures,
                Step::Arrive => {
                    self.arrive(spread);
                    let gap = Duration::from_secs_f64(self.exponential() * mean_gap);
                    self.plan(gap, Step::Arrive);
                }
                Step::End(index, held) => self.end(index, held),
                Step::Deliver(wire) => self.deliver(wire),
                Step::Tick(index) => {
                    self.tick(index);
                    self.serve(index);
                    self.plan(TICK, Step::Tick(index));
                }
            }
        }
        self.figures
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn plan(&mut self, after: Duration, step: Step) {
        self.serial += 1;
        self.steps
            .push(Reverse((self.now + after, self.serial, step)));
    }

    fn arrive(&mut self, spread: Spread) {
        let count = self.nodes.len();
        let index = match spread {
            Spread::InTurn => self.arrived % count,
            Spread::Random => self.rng.random_range(0..count),
            Spread::Skewed if self.rng.random_bool(0.5) => 0,
            Spread::Skewed => self.rng.random_range(1..count.max(2)) % count,
        };
        self.arrived += 1;
        let idle_somewhere = self.busy < TARGETS * SLOTS;
        self.nodes[index].queue.push_back(self.now);
        self.serve(index);
        let waits = !self.nodes[index].queue.is_empty();
        self.figures.stranded += usize::from(waits && idle_somewhere);
    }

    /// Starts what waits, refuses what waited too long, and asks for slots for
    /// the rest.
    fn serve(&mut self, index: usize) {
        while let Some(since) = self.nodes[index].queue.front().copied() {
            let waited = self.now - since;
            if waited > WAIT_MAX {
                self.figures.refused += 1;
            } else if self.acquire(index) {
                self.figures.waits.push(waited);
            } else {
                break;
            }
            self.nodes[index].queue.pop_front();
        }
        if self.way == Way::Demand {
            let node = &mut self.nodes[index];
            let waiting = u32::try_from(node.queue.len()).unwrap_or(u32::MAX);
            let out = node.slots.request_slots(waiting, self.now);
            self.send(index, out);
        }
    }

    fn acquire(&mut self, index: usize) -> bool {
        let node = &mut self.nodes[index];
        let count = node.keys.len();
        let first = self.rng.random_range(0..count);
        let keys = (0..count).map(|i| node.keys[(first + i) % count]);
        let now = self.now;
        let Some(slot) = keys
            .into_iter()
            .find_map(|key| node.slots.acquire(key, now))
        else {
            return false;
        };
        self.busy += 1;
        self.slots.push(slot);
        let held = Held(self.slots.len() - 1);
        let taken = SERVICE_MEAN
            .mul_f64(self.exponential())
            .min(TERMS.max_request_duration);
        self.plan(taken, Step::End(index, held));
        true
    }

    fn end(&mut self, index: usize, held: Held) {
        self.busy -= 1;
        let slot = self.slots[held.0];
        self.nodes[index].slots.release(slot, self.now);
        self.serve(index);
    }

    fn tick(&mut self, index: usize) {
        let out = self.nodes[index].slots.tick(self.now);
        self.send(index, out);
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for out in out {
            self.figures.messages += 1;
            self.wires.push((from, out));
            self.plan(ONE_WAY, Step::Deliver(self.wires.len() - 1));
        }
    }

    fn deliver(&mut self, wire: usize) {
        let (from, out) = self.wires[wire].clone();
        let to = out.to.0 as usize;
        let from = EntryIndex(u32::try_from(from).unwrap_or(u32::MAX));
        let answers = self.nodes[to]
            .slots
            .handle_message(from, out.message, self.now);
        self.send(to, answers);
        self.serve(to);
    }
}

fn main() {
    println!("entries spread load way: stranded % refused % wait p99 ms, messages/request");
    for entries in [3, 6, 9] {
        for spread in [Spread::InTurn, Spread::Random, Spread::Skewed] {
            for load in [0.5, 0.7, 0.9] {
                for way in [Way::Static, Way::Demand, Way::OneQueue] {
                    measure(entries, spread, load, way);
                }
            }
        }
    }
}

fn measure(entries: u32, spread: Spread, load: f64, way: Way) {
    let count = if way == Way::OneQueue { 1 } else { entries };
    let mut figures = Run::new(way, count).run(load, spread);
    figures.waits.sort_unstable();
    let p99 = figures.waits[figures.waits.len() * 99 / 100];
    let percent = |count: usize| count as f64 * 100.0 / REQUESTS as f64;
    println!(
        "{entries} {spread:?} {load} {way:?}: {:.2} {:.2} {:.1}, {:.2}",
        percent(figures.stranded),
        percent(figures.refused),
        p99.as_secs_f64() * 1e3,
        figures.messages as f64 / REQUESTS as f64
    );
}
