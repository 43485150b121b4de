//! The cap of a target holds over all entries, whatever happens to them and to
//! their messages.

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

/// A request at a target; it goes on if its entry dies or freezes.
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
    /// Thousandths by which its clock is fast.
    drift: i64,
    frozen_until: u64,
}

struct Fleet {
    rng: StdRng,
    names: Vec<Box<str>>,
    nodes: Vec<Node>,
    running: Vec<Running>,
    wires: Vec<(u64, usize, Outgoing)>,
    /// The entry that no message reaches or leaves, until when.
    cut_off: (usize, u64),
    now: u64,
    protections: Protections,
    begun_on_loan: u64,
    violations: u64,
}

impl Fleet {
    fn new(seed: u64, count: usize, protections: Protections) -> Fleet {
        let mut fleet = Fleet {
            rng: StdRng::seed_from_u64(seed),
            names: (0..count).map(|i| format!("e{i}").into()).collect(),
            nodes: Vec::new(),
            running: Vec::new(),
            wires: Vec::new(),
            cut_off: (0, 0),
            now: 0,
            protections,
            begun_on_loan: 0,
            violations: 0,
        };
        for index in 0..count {
            let node = fleet.start(index, 1, true);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn start(&mut self, index: usize, incarnation: u64, fresh: bool) -> Node {
        let me = EntryIndex(u32::try_from(index).expect("few entries"));
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
        let passed = i64::try_from(self.now - node.started_at).expect("short runs");
        let micros = passed * (1_000 + node.drift);
        Duration::from_micros(u64::try_from(micros).expect("positive"))
    }

    fn run(&mut self, faults: bool) {
        for _ in 0..STEPS {
            self.now += STEP_MS;
            self.end_requests();
            self.deliver();
            if faults {
                self.fault();
            }
            for index in 0..self.nodes.len() {
                self.work(index);
            }
            self.check();
        }
    }

    fn end_requests(&mut self) {
        let (nodes, now) = (&self.nodes, self.now);
        // A frozen entry notices the end of its requests only when it thaws.
        let unnoticed = |r: &Running| {
            r.incarnation == nodes[r.entry].incarnation && now < nodes[r.entry].frozen_until
        };
        let ended = |r: &mut Running| r.ends_at <= now && !unnoticed(r);
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
        let due: Vec<_> = self.wires.extract_if(.., due).collect();
        for (_, from, out) in due {
            let to = out.to.0 as usize;
            let local = self.local(to);
            let from_entry = EntryIndex(u32::try_from(from).expect("few entries"));
            let answers = self.nodes[to]
                .slots
                .handle_message(from_entry, out.message, local);
            self.send(to, answers);
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for out in out {
            let (cut, until) = self.cut_off;
            let to = out.to.0 as usize;
            let lost =
                self.rng.random_bool(0.05) || (self.now < until && (cut == from || cut == to));
            if lost {
                continue;
            }
            let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                let late = if self.rng.random_bool(0.05) { 900 } else { 15 };
                let at = self.now + self.rng.random_range(0..late);
                self.wires.push((at, from, out.clone()));
            }
        }
    }

    fn fault(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let lasting = self.now + self.rng.random_range(50..2_000);
        match self.rng.random_range(0..400) {
            0 => self.nodes[index] = self.start(index, self.nodes[index].incarnation + 1, false),
            1 | 2 => self.nodes[index].frozen_until = lasting,
            3 => self.cut_off = (index, lasting),
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
        // Demand moves from entry to entry.
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
        self.begun_on_loan += u64::from(slot.grant.is_some());
        let longest = u64::try_from(TERMS.max_request_duration.as_millis()).expect("short");
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

    /// Counts what really runs at each target.
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
    let mut begun_on_loan = 0;
    for seed in 0..24 {
        let count = [3, 6, 9][usize::try_from(seed % 3).unwrap()];
        let mut fleet = Fleet::new(seed, count, Protections::ALL);
        fleet.run(true);
        assert_eq!(fleet.violations, 0, "seed {seed}");
        begun_on_loan += fleet.begun_on_loan;
    }
    assert!(begun_on_loan > 1_000, "loans were in play: {begun_on_loan}");
}

#[test]
fn slots_any_faults_without_lease_grace() {
    let off = Protections {
        lease_grace: false,
        ..Protections::ALL
    };
    let run = |seed| {
        let mut fleet = Fleet::new(seed, 3, off);
        fleet.run(true);
        fleet.violations
    };
    assert!((0..8).map(run).sum::<u64>() > 0);
}

#[test]
fn slots_quiet_all_come_home() {
    let mut fleet = Fleet::new(5, 6, Protections::ALL);
    fleet.run(true);
    fleet.now += 5_000;
    fleet.end_requests();
    for index in 0..fleet.nodes.len() {
        let local = fleet.local(index);
        let node = &mut fleet.nodes[index];
        node.slots.tick(local);
        let usable = node.keys.iter().map(|key| node.slots.usable(*key, local));
        let home =
            |(name, cap): &(&str, u32)| slot_share(name, *cap, &fleet.names, &fleet.names[index]);
        assert_eq!(usable.sum::<u32>(), TARGETS.iter().map(home).sum::<u32>());
    }
}

#[test]
fn receive_ask_again_lends_once() {
    let names: Vec<Box<str>> = vec!["e0".into(), "e1".into()];
    let mut slots = Slots::new(EntryIndex(0), 1, &names, TERMS, Duration::ZERO);
    let key = slots.set_target("r1", 8, true);
    let ask = Message::Request {
        incarnation: 1,
        serial: 1,
        count: 2,
    };
    let first = slots.handle_message(EntryIndex(1), ask.clone(), Duration::ZERO);
    assert_eq!(first.len(), 1);
    assert_eq!(slots.usable(key, Duration::ZERO), 2);
    assert!(
        slots
            .handle_message(EntryIndex(1), ask, Duration::ZERO)
            .is_empty()
    );
    assert_eq!(slots.usable(key, Duration::ZERO), 2);
}

/// Carries messages between two entries until none is left.
fn exchange(nodes: &mut [Slots; 2], from: usize, out: Vec<Outgoing>, now: Duration) {
    for out in out {
        let to = out.to.0 as usize;
        let sender = EntryIndex(u32::try_from(from).expect("two entries"));
        let answers = nodes[to].handle_message(sender, out.message, now);
        exchange(nodes, to, answers, now);
    }
}

#[test]
fn tick_idle_loan_goes_home() {
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
    assert_eq!(split(&nodes, now), (3, 5), "a loan in use stays");

    busy.into_iter()
        .for_each(|slot| nodes[1].release(slot, now));
    now += TERMS.idle_timeout;
    assert!(now < TERMS.lease);
    let out = nodes[1].tick(now);
    exchange(&mut nodes, 1, out, now);
    assert_eq!(split(&nodes, now), (4, 4));
}

#[test]
fn borrow_grant_for_shorter_requests_goes_back() {
    let names: Vec<Box<str>> = vec!["e0".into(), "e1".into()];
    let start = |index| Slots::new(EntryIndex(index), 1, &names, TERMS, Duration::ZERO);
    let mut nodes = [start(0), start(1)];
    let now = Duration::ZERO;
    let lender = nodes[0].set_target("r1", 8, true);
    let borrower = nodes[1].set_target("r1", 8, true);
    let out = nodes[1].request_slots(1, now);
    exchange(&mut nodes, 1, out, now);
    assert_eq!(nodes[1].usable(borrower, now), 5);

    // The borrower learns first that requests may take longer.
    nodes[1].set_max_request_duration(TERMS.max_request_duration * 2);
    assert_eq!(nodes[1].usable(borrower, now), 4, "the loan ends");
    let later = now + Duration::from_millis(200);
    let out = nodes[1].tick(later);
    exchange(&mut nodes, 1, out, later);
    let out = nodes[1].request_slots(1, later);
    exchange(&mut nodes, 1, out, later);
    assert_eq!(nodes[1].usable(borrower, later), 4);
    assert_eq!(nodes[0].usable(lender, later), 4);
}

#[test]
fn begin_until_loan_is_bounded() {
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
    let loan = nodes[1].acquire(key, now).expect("the loan");
    assert_eq!(nodes[1].start_deadline(loan), Some(now + TERMS.lease));
}
