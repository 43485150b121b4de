//! No target gets more requests than its cap from all entries together, whatever
//! faults the entries and their messages have.

use std::time::Duration;

use cleat_decide::{
    EntryIndex, LeaseTerms, Message, Outgoing, Protections, Slot, Slots, TargetKey, slot_share,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_millis(300),
    max_request_duration: Duration::from_millis(400),
    idle_timeout: Duration::from_millis(50),
};
const TARGETS: [(&str, u32); 3] = [("r1", 8), ("r2", 5), ("r3", 1)];
const STEP_MS: u64 = 5;
const STEPS: u64 = 3_000;

/// A request at a target. It continues when its entry dies or freezes.
struct Running {
    target: usize,
    entry: usize,
    incarnation: u64,
    slot: Slot,
    ends_at: u64,
}

struct Node {
    slots: Slots,
    keys: Vec<TargetKey>,
    incarnation: u64,
    started_at: u64,
    /// How much faster than real time its clock runs, in thousandths.
    drift: i64,
    frozen_until: u64,
}

struct Simulation {
    rng: StdRng,
    names: Vec<Box<str>>,
    nodes: Vec<Node>,
    running: Vec<Running>,
    in_transit: Vec<(u64, usize, Outgoing)>,
    /// The entry that can neither send nor receive messages, and until when.
    isolated: (usize, u64),
    now: u64,
    protections: Protections,
    started_on_borrowed: u64,
    violations: u64,
}

impl Simulation {
    fn new(seed: u64, count: usize, protections: Protections) -> Simulation {
        let mut sim = Simulation {
            rng: StdRng::seed_from_u64(seed),
            names: (0..count).map(|i| format!("e{i}").into()).collect(),
            nodes: Vec::new(),
            running: Vec::new(),
            in_transit: Vec::new(),
            isolated: (0, 0),
            now: 0,
            protections,
            started_on_borrowed: 0,
            violations: 0,
        };
        for index in 0..count {
            let node = sim.start(index, 1, true);
            sim.nodes.push(node);
        }
        sim
    }

    fn start(&mut self, index: usize, incarnation: u64, fresh: bool) -> Node {
        let me = EntryIndex(u32::try_from(index).expect("there are few entries"));
        let slots = Slots::new(me, incarnation, &self.names, TERMS, Duration::ZERO);
        let mut slots = slots.with_protections(self.protections);
        let keys = TARGETS
            .iter()
            .map(|(name, cap)| slots.set_target(name, *cap, fresh));
        Node {
            keys: keys.collect(),
            slots,
            incarnation,
            started_at: self.now,
            drift: self.rng.random_range(-9..=9),
            frozen_until: 0,
        }
    }

    fn local(&self, index: usize) -> Duration {
        let node = &self.nodes[index];
        let passed = i64::try_from(self.now - node.started_at).expect("runs are short");
        let micros = passed * (1_000 + node.drift);
        Duration::from_micros(u64::try_from(micros).expect("time is not negative"))
    }

    fn run(&mut self, faults: bool) {
        for _ in 0..STEPS {
            self.now += STEP_MS;
            self.end_requests();
            self.deliver();
            if faults {
                self.inject_fault();
            }
            for index in 0..self.nodes.len() {
                self.work(index);
            }
            self.check();
        }
    }

    fn end_requests(&mut self) {
        let (nodes, now) = (&self.nodes, self.now);
        // A frozen entry handles the end of its requests only when it continues.
        let unhandled = |r: &Running| {
            r.incarnation == nodes[r.entry].incarnation && now < nodes[r.entry].frozen_until
        };
        let ended = |r: &mut Running| r.ends_at <= now && !unhandled(r);
        let ended: Vec<Running> = self.running.extract_if(.., ended).collect();
        for request in ended {
            let local = self.local(request.entry);
            let node = &mut self.nodes[request.entry];
            if node.incarnation == request.incarnation {
                node.slots.release(request.slot, local);
            }
        }
    }

    fn deliver(&mut self) {
        let (nodes, now) = (&self.nodes, self.now);
        let due = |(at, _, out): &mut (u64, usize, Outgoing)| {
            *at <= now && now >= nodes[out.to.0 as usize].frozen_until
        };
        let due: Vec<_> = self.in_transit.extract_if(.., due).collect();
        for (_, from, out) in due {
            let to = out.to.0 as usize;
            let local = self.local(to);
            let from_entry = EntryIndex(u32::try_from(from).expect("there are few entries"));
            let answers = self.nodes[to]
                .slots
                .handle_message(from_entry, out.message, local);
            self.send(to, answers);
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for out in out {
            let (isolated, until) = self.isolated;
            let to = out.to.0 as usize;
            let lost = self.rng.random_bool(0.05)
                || (self.now < until && (isolated == from || isolated == to));
            if lost {
                continue;
            }
            let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                let delay_max = if self.rng.random_bool(0.05) { 900 } else { 15 };
                let at = self.now + self.rng.random_range(0..delay_max);
                self.in_transit.push((at, from, out.clone()));
            }
        }
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let until = self.now + self.rng.random_range(50..2_000);
        match self.rng.random_range(0..400) {
            0 => self.nodes[index] = self.start(index, self.nodes[index].incarnation + 1, false),
            1 | 2 => self.nodes[index].frozen_until = until,
            3 => self.isolated = (index, until),
            _ => {}
        }
    }

    fn work(&mut self, index: usize) {
        if self.now < self.nodes[index].frozen_until {
            return;
        }
        let local = self.local(index);
        let out = self.nodes[index].slots.tick(local);
        self.send(index, out);
        // The load moves from entry to entry.
        let busy = (self.now / 700) % self.nodes.len() as u64 == index as u64;
        let arrivals = if busy {
            4
        } else {
            u32::from(self.rng.random_bool(0.05))
        };
        let mut waiting = 0;
        for _ in 0..arrivals {
            let target = self.rng.random_range(0..TARGETS.len());
            waiting += u32::from(!self.acquire(index, target, local));
        }
        let out = self.nodes[index].slots.request_slots(waiting, local);
        self.send(index, out);
    }

    fn acquire(&mut self, index: usize, target: usize, local: Duration) -> bool {
        let node = &mut self.nodes[index];
        let Some(slot) = node.slots.acquire(node.keys[target], local) else {
            return false;
        };
        self.started_on_borrowed += u64::from(slot.grant.is_some());
        let longest =
            u64::try_from(TERMS.max_request_duration.as_millis()).expect("the duration is short");
        let takes = self.rng.random_range(1..=longest);
        self.running.push(Running {
            target,
            entry: index,
            incarnation: node.incarnation,
            slot,
            ends_at: self.now + takes,
        });
        true
    }

    /// Counts the targets at which more requests run than their cap.
    fn check(&mut self) {
        for (target, (_, cap)) in TARGETS.iter().enumerate() {
            let on_it = |r: &&Running| r.target == target && r.ends_at > self.now;
            let count = self.running.iter().filter(on_it).count();
            self.violations += u64::from(count as u64 > u64::from(*cap));
        }
    }
}

#[test]
fn slots_any_faults_keep_cap() {
    let mut started_on_borrowed = 0;
    for seed in 0..24 {
        let count = [3, 6, 9][usize::try_from(seed % 3).unwrap()];
        let mut sim = Simulation::new(seed, count, Protections::ALL);
        sim.run(true);
        assert_eq!(sim.violations, 0, "seed {seed}");
        started_on_borrowed += sim.started_on_borrowed;
    }
    assert!(
        started_on_borrowed > 1_000,
        "too few borrowed slots were used: {started_on_borrowed}"
    );
}

#[test]
fn slots_any_faults_without_lease_grace() {
    let off = Protections {
        lease_grace: false,
        ..Protections::ALL
    };
    let run = |seed| {
        let mut sim = Simulation::new(seed, 3, off);
        sim.run(true);
        sim.violations
    };
    assert!((0..8).map(run).sum::<u64>() > 0);
}

#[test]
fn slots_without_traffic_return_home() {
    let mut sim = Simulation::new(5, 6, Protections::ALL);
    sim.run(true);
    sim.now += 5_000;
    sim.end_requests();
    for index in 0..sim.nodes.len() {
        let local = sim.local(index);
        let node = &mut sim.nodes[index];
        node.slots.tick(local);
        let usable = node.keys.iter().map(|key| node.slots.usable(*key, local));
        let home =
            |(name, cap): &(&str, u32)| slot_share(name, *cap, &sim.names, &sim.names[index]);
        assert_eq!(usable.sum::<u32>(), TARGETS.iter().map(home).sum::<u32>());
    }
}

#[test]
fn handle_message_repeated_request_lends_once() {
    let names: Vec<Box<str>> = vec!["e0".into(), "e1".into()];
    let mut slots = Slots::new(EntryIndex(0), 1, &names, TERMS, Duration::ZERO);
    let key = slots.set_target("r1", 8, true);
    let request = Message::Request {
        incarnation: 1,
        serial: 1,
        count: 2,
    };
    let first = slots.handle_message(EntryIndex(1), request.clone(), Duration::ZERO);
    assert_eq!(first.len(), 1);
    assert_eq!(slots.usable(key, Duration::ZERO), 2);
    assert!(
        slots
            .handle_message(EntryIndex(1), request, Duration::ZERO)
            .is_empty()
    );
    assert_eq!(slots.usable(key, Duration::ZERO), 2);
}

/// Delivers messages between two entries until none is left.
fn exchange(nodes: &mut [Slots; 2], from: usize, out: Vec<Outgoing>, now: Duration) {
    for out in out {
        let to = out.to.0 as usize;
        let sender = EntryIndex(u32::try_from(from).expect("there are two entries"));
        let answers = nodes[to].handle_message(sender, out.message, now);
        exchange(nodes, to, answers, now);
    }
}

#[test]
fn tick_returns_idle_borrowed_slot() {
    let names: Vec<Box<str>> = vec!["e0".into(), "e1".into()];
    let start = |index| Slots::new(EntryIndex(index), 1, &names, TERMS, Duration::ZERO);
    let mut nodes = [start(0), start(1)];
    let key = nodes[0].set_target("r1", 8, true);
    let other = nodes[1].set_target("r1", 8, true);
    let mut now = Duration::ZERO;
    let out = nodes[1].request_slots(1, now);
    exchange(&mut nodes, 1, out, now);
    let split = |nodes: &[Slots; 2], now| (nodes[0].usable(key, now), nodes[1].usable(other, now));
    assert_eq!(split(&nodes, now), (3, 5));

    let busy: Vec<Slot> = (0..5)
        .filter_map(|_| nodes[1].acquire(other, now))
        .collect();
    now += TERMS.idle_timeout * 2;
    let out = nodes[1].tick(now);
    exchange(&mut nodes, 1, out, now);
    assert_eq!(
        split(&nodes, now),
        (3, 5),
        "a borrowed slot in use was returned"
    );

    busy.into_iter()
        .for_each(|slot| nodes[1].release(slot, now));
    now += TERMS.idle_timeout;
    assert!(now < TERMS.lease);
    let out = nodes[1].tick(now);
    exchange(&mut nodes, 1, out, now);
    assert_eq!(split(&nodes, now), (4, 4));
}

#[test]
fn borrow_returns_grant_for_shorter_requests() {
    let names: Vec<Box<str>> = vec!["e0".into(), "e1".into()];
    let start = |index| Slots::new(EntryIndex(index), 1, &names, TERMS, Duration::ZERO);
    let mut nodes = [start(0), start(1)];
    let now = Duration::ZERO;
    let lender = nodes[0].set_target("r1", 8, true);
    let borrower = nodes[1].set_target("r1", 8, true);
    let out = nodes[1].request_slots(1, now);
    exchange(&mut nodes, 1, out, now);
    assert_eq!(nodes[1].usable(borrower, now), 5);

    // The borrower learns before the lender that requests may take longer.
    nodes[1].set_max_request_duration(TERMS.max_request_duration * 2);
    assert_eq!(
        nodes[1].usable(borrower, now),
        4,
        "the lease for shorter requests did not end"
    );
    let later = now + Duration::from_millis(200);
    let out = nodes[1].tick(later);
    exchange(&mut nodes, 1, out, later);
    let out = nodes[1].request_slots(1, later);
    exchange(&mut nodes, 1, out, later);
    assert_eq!(nodes[1].usable(borrower, later), 4);
    assert_eq!(nodes[0].usable(lender, later), 4);
}

#[test]
fn start_deadline_of_borrowed_slot_is_end_of_lease() {
    let names: Vec<Box<str>> = vec!["e0".into(), "e1".into()];
    let start = |index| Slots::new(EntryIndex(index), 1, &names, TERMS, Duration::ZERO);
    let mut nodes = [start(0), start(1)];
    let now = Duration::from_millis(10);
    nodes[0].set_target("r1", 2, true);
    let key = nodes[1].set_target("r1", 2, true);
    let out = nodes[1].request_slots(1, now);
    exchange(&mut nodes, 1, out, now);
    let home = nodes[1].acquire(key, now).expect("the slot at home");
    assert_eq!(nodes[1].start_deadline(home), None);
    let borrowed = nodes[1].acquire(key, now).expect("the borrowed slot");
    assert_eq!(nodes[1].start_deadline(borrowed), Some(now + TERMS.lease));
}
