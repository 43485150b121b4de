//! Simulates how many requests wait at one entry while a slot is idle at another,
//! and compares static shares of slots with slots lent by demand.
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
/// The one-way network latency between two data centres.
const ONE_WAY: Duration = Duration::from_micros(1_500);
/// A request that has waited for longer than this is refused.
const WAIT_MAX: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);
const REQUESTS: usize = 60_000;
const SEED: u64 = 11;
const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_secs(2),
    max_request_duration: Duration::from_secs(2),
    idle_timeout: Duration::from_millis(20),
};

/// How the load balancer distributes requests over the entries.
#[derive(Debug, Clone, Copy)]
enum Distribution {
    InTurn,
    Random,
    /// One entry gets half of all requests.
    Skewed,
}

/// How slots are shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sharing {
    Static,
    Demand,
    /// A single entry with all slots, as the optimum to compare with.
    OneQueue,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End(usize, SlotIndex),
    Deliver(usize),
    Tick(usize),
}

/// The index of a slot in the list of all slots acquired so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotIndex(usize);

#[derive(Default)]
struct Statistics {
    waits: Vec<Duration>,
    /// Requests that had to wait on arrival while a slot was idle at another entry.
    stranded: usize,
    refused: usize,
    messages: usize,
}

struct Node {
    slots: Slots,
    keys: Vec<TargetKey>,
    queue: VecDeque<Duration>,
}

struct Simulation {
    rng: StdRng,
    now: Duration,
    serial: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    nodes: Vec<Node>,
    in_transit: Vec<(usize, Outgoing)>,
    slots: Vec<Slot>,
    busy: u32,
    arrived: usize,
    sharing: Sharing,
    statistics: Statistics,
}

impl Simulation {
    fn new(sharing: Sharing, entries: u32) -> Simulation {
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
        Simulation {
            rng: StdRng::seed_from_u64(SEED),
            now: Duration::ZERO,
            serial: 0,
            events: BinaryHeap::new(),
            nodes: (0..entries).map(node).collect(),
            in_transit: Vec::new(),
            slots: Vec::new(),
            busy: 0,
            arrived: 0,
            sharing,
            statistics: Statistics::default(),
        }
    }

    fn run(mut self, load: f64, distribution: Distribution) -> Statistics {
        let capacity = f64::from(TARGETS * SLOTS) / SERVICE_MEAN.as_secs_f64();
        let mean_gap = 1.0 / (capacity * load);
        self.schedule(Duration::ZERO, Event::Arrive);
        for index in 0..self.nodes.len() {
            self.schedule(TICK, Event::Tick(index));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive if self.arrived == REQUESTS => return self.statistics,
                Event::Arrive => {
                    self.arrive(distribution);
                    let gap = Duration::from_secs_f64(self.exponential() * mean_gap);
                    self.schedule(gap, Event::Arrive);
                }
                Event::End(index, slot) => self.complete(index, slot),
                Event::Deliver(message) => self.deliver(message),
                Event::Tick(index) => {
                    self.tick(index);
                    self.serve(index);
                    self.schedule(TICK, Event::Tick(index));
                }
            }
        }
        self.statistics
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.events
            .push(Reverse((self.now + after, self.serial, event)));
    }

    fn arrive(&mut self, distribution: Distribution) {
        let count = self.nodes.len();
        let index = match distribution {
            Distribution::InTurn => self.arrived % count,
            Distribution::Random => self.rng.random_range(0..count),
            Distribution::Skewed if self.rng.random_bool(0.5) => 0,
            Distribution::Skewed => self.rng.random_range(1..count.max(2)) % count,
        };
        self.arrived += 1;
        let idle_somewhere = self.busy < TARGETS * SLOTS;
        self.nodes[index].queue.push_back(self.now);
        self.serve(index);
        let waits = !self.nodes[index].queue.is_empty();
        self.statistics.stranded += usize::from(waits && idle_somewhere);
    }

    /// Starts waiting requests, refuses those that waited too long, and requests
    /// slots for the rest.
    fn serve(&mut self, index: usize) {
        while let Some(since) = self.nodes[index].queue.front().copied() {
            let waited = self.now - since;
            if waited > WAIT_MAX {
                self.statistics.refused += 1;
            } else if self.acquire(index) {
                self.statistics.waits.push(waited);
            } else {
                break;
            }
            self.nodes[index].queue.pop_front();
        }
        if self.sharing == Sharing::Demand {
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
        let slot_index = SlotIndex(self.slots.len() - 1);
        let service_time = SERVICE_MEAN
            .mul_f64(self.exponential())
            .min(TERMS.max_request_duration);
        self.schedule(service_time, Event::End(index, slot_index));
        true
    }

    fn complete(&mut self, index: usize, slot_index: SlotIndex) {
        self.busy -= 1;
        let slot = self.slots[slot_index.0];
        self.nodes[index].slots.release(slot, self.now);
        self.serve(index);
    }

    fn tick(&mut self, index: usize) {
        let out = self.nodes[index].slots.tick(self.now);
        self.send(index, out);
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for out in out {
            self.statistics.messages += 1;
            self.in_transit.push((from, out));
            self.schedule(ONE_WAY, Event::Deliver(self.in_transit.len() - 1));
        }
    }

    fn deliver(&mut self, message: usize) {
        let (from, out) = self.in_transit[message].clone();
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
    println!(
        "entries distribution load sharing: stranded % refused % wait p99 ms, messages/request"
    );
    for entries in [3, 6, 9] {
        for distribution in [
            Distribution::InTurn,
            Distribution::Random,
            Distribution::Skewed,
        ] {
            for load in [0.5, 0.7, 0.9] {
                for sharing in [Sharing::Static, Sharing::Demand, Sharing::OneQueue] {
                    measure(entries, distribution, load, sharing);
                }
            }
        }
    }
}

fn measure(entries: u32, distribution: Distribution, load: f64, sharing: Sharing) {
    let count = if sharing == Sharing::OneQueue {
        1
    } else {
        entries
    };
    let mut statistics = Simulation::new(sharing, count).run(load, distribution);
    statistics.waits.sort_unstable();
    let p99 = statistics.waits[statistics.waits.len() * 99 / 100];
    let percent = |count: usize| count as f64 * 100.0 / REQUESTS as f64;
    println!(
        "{entries} {distribution:?} {load} {sharing:?}: {:.2} {:.2} {:.1}, {:.2}",
        percent(statistics.stranded),
        percent(statistics.refused),
        p99.as_secs_f64() * 1e3,
        statistics.messages as f64 / REQUESTS as f64
    );
}
