//! Properties of admission over any order of events.

use std::time::Duration;

use cleat_decide::{
    AdmissionController, AdmissionDecision, Arrival, Protections, Refusal, RefusalReason, Ticket,
};
use cleat_world::{FleetConfig, Service};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use serde_json::{Value, json};

const CALLERS: [&str; 4] = ["harbour", "school", "desk", "batch"];

fn service(terms: Value) -> Service {
    let mut terms = terms;
    terms["pool"] = json!("runners");
    let fleet = json!({
        "data_centres": {"dc1": {}},
        "pools": {"runners": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"}}}},
        "services": {"dock": terms},
    });
    let fleet = FleetConfig::parse(&fleet).expect("the terms are valid");
    fleet
        .services
        .by_name("dock")
        .expect("it is stated")
        .clone()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A gate with its slots, and how each ticket ended.
struct Model {
    controller: AdmissionController,
    free: u32,
    slots: u32,
    running: Vec<(Ticket, Duration)>,
    live: IndexSet<Ticket>,
    ended: IndexMap<Ticket, &'static str>,
    deadlines: IndexMap<Ticket, Duration>,
    next: u64,
    now: Duration,
}

impl Model {
    fn new(terms: Value, slots: u32, protections: Protections) -> Model {
        Model {
            controller: AdmissionController::with_protections(&service(terms), 1, protections),
            free: slots,
            slots,
            running: Vec::new(),
            live: IndexSet::new(),
            ended: IndexMap::new(),
            deadlines: IndexMap::new(),
            next: 0,
            now: Duration::ZERO,
        }
    }

    fn arrive(&mut self, caller: &str, allowed: Duration) -> AdmissionDecision {
        self.next += 1;
        let ticket = Ticket(self.next);
        let deadline = self.now + allowed;
        self.deadlines.insert(ticket, deadline);
        self.live.insert(ticket);
        let arrival = Arrival {
            ticket,
            caller,
            deadline,
        };
        let arrived = self.controller.admit(arrival, self.free, self.now);
        match arrived {
            AdmissionDecision::Start => self.start(ticket),
            AdmissionDecision::Wait => {}
            AdmissionDecision::Displace { displaced, refusal } => self.refuse(displaced, &refusal),
            AdmissionDecision::Refuse(refusal) => self.refuse(ticket, &refusal),
        }
        arrived
    }

    fn start(&mut self, ticket: Ticket) {
        assert!(self.free > 0, "a slot is free");
        assert!(self.now <= self.deadlines[&ticket], "started in time");
        self.free -= 1;
        self.running.push((ticket, self.now));
        self.end(ticket, "started");
    }

    fn refuse(&mut self, ticket: Ticket, refusal: &Refusal) {
        assert!(refusal.retry_after <= ms(30_000));
        self.end(ticket, "refused");
    }

    fn end(&mut self, ticket: Ticket, how: &'static str) {
        assert!(self.live.swap_remove(&ticket), "{ticket:?} {how} again");
        assert_eq!(self.ended.insert(ticket, how), None);
    }

    fn free_one(&mut self) -> Option<Ticket> {
        let (_, since) = (!self.running.is_empty()).then(|| self.running.remove(0))?;
        self.free += 1;
        let taken = self.now - since;
        let released = self.controller.slot_freed(Some(taken), self.now);
        for (ticket, refusal) in &released.refused {
            self.refuse(*ticket, refusal);
        }
        if let Some(ticket) = released.start {
            self.start(ticket);
        }
        released.start
    }

    fn expire(&mut self) {
        for (ticket, refusal) in self.controller.expire(self.now) {
            self.refuse(ticket, &refusal);
        }
        assert!(self.controller.next_expiry().is_none_or(|at| at > self.now));
    }

    fn cancel(&mut self, position: usize) {
        if let Some(ticket) = self.live.get_index(position).copied() {
            self.controller.cancel(ticket);
            self.end(ticket, "cancelled");
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(usize, u64),
    Free,
    Expire,
    Cancel(usize),
    Pass(u64),
    SetTerms(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..CALLERS.len(), 0..2_000u64).prop_map(|(caller, ms)| Event::Arrive(caller, ms)),
        4 => Just(Event::Free),
        1 => Just(Event::Expire),
        1 => (0..8usize).prop_map(Event::Cancel),
        2 => (0..300u64).prop_map(Event::Pass),
        1 => (1..9u64).prop_map(Event::SetTerms),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn gate_any_order_ends_each_ticket_once(events in prop::collection::vec(event(), 0..300)) {
        let terms = json!({"queue": {"length": 6}, "callers": {"batch": {"quota": {"per_second": 5}}}});
        let mut model = Model::new(terms, 3, Protections::ALL);
        for event in events {
            match event {
                Event::Arrive(caller, allowed) => {
                    model.arrive(CALLERS[caller], ms(allowed));
                }
                Event::Free => {
                    model.free_one();
                }
                Event::Expire => model.expire(),
                Event::Cancel(position) => model.cancel(position),
                Event::Pass(passed) => model.now += ms(passed),
                Event::SetTerms(weight) => {
                    let terms = json!({"queue": {"length": 6}, "callers": {"desk": {"weight": weight}}});
                    model.controller.reconfigure(&service(terms));
                }
            }
            prop_assert_eq!(model.controller.waiting(), model.live.len());
            prop_assert!(model.controller.waiting() <= 6);
            prop_assert_eq!(model.running.len() as u64, u64::from(model.slots - model.free));
        }
        model.now += ms(10_000);
        model.expire();
        prop_assert!(model.live.is_empty(), "nothing is left behind");
        prop_assert_eq!(model.ended.len() as u64, model.next);
    }

    #[test]
    fn gate_backlogged_callers_share_by_weight(heavy in 1..8u64, order in prop::collection::vec(any::<bool>(), 100)) {
        let gap = share_gap(heavy, &order, Protections::ALL);
        prop_assert!(gap <= 1.0, "off its share by {}", gap);
    }
}

/// Two callers always have requests waiting; by how many requests of the
/// lighter one's weight they are served off their shares, at worst.
fn share_gap(heavy: u64, order: &[bool], protections: Protections) -> f64 {
    let terms = json!({"callers": {"desk": {"weight": heavy}, "school": {"weight": 1}}});
    let mut model = Model::new(terms, 1, protections);
    let hour = ms(3_600_000);
    model.arrive("first", hour);
    let mut callers = IndexMap::new();
    for is_desk in order {
        let caller = if *is_desk { "desk" } else { "school" };
        model.arrive(caller, hour);
        callers.insert(Ticket(model.next), *is_desk);
    }
    let of = |which: bool| order.iter().filter(|is_desk| **is_desk == which).count();
    let (mut desk, mut school, mut worst) = (0usize, 0usize, 0.0f64);
    while desk < of(true) && school < of(false) {
        let started = model.free_one().expect("both have requests waiting");
        if callers[&started] {
            desk += 1;
        } else {
            school += 1;
        }
        let gap = (desk as f64 / heavy as f64 - school as f64).abs();
        worst = worst.max(gap);
    }
    worst
}

#[test]
fn gate_shares_without_fair_queue() {
    let off = Protections {
        fair_queue: false,
        ..Protections::ALL
    };
    let order: Vec<bool> = (0..100).map(|i| i < 50).collect();
    assert!(share_gap(2, &order, off) > 1.0);
}

#[test]
fn arrive_full_queue_displaces_the_greediest() {
    let mut model = Model::new(json!({"queue": {"length": 4}}), 1, Protections::ALL);
    for _ in 0..5 {
        model.arrive("batch", ms(60_000));
    }
    let refused = model.arrive("batch", ms(60_000));
    let full = |refusal: Refusal| refusal.reason == RefusalReason::QueueFull;
    assert!(matches!(refused, AdmissionDecision::Refuse(refusal) if full(refusal)));
    let other = model.arrive("school", ms(60_000));
    assert!(
        matches!(other, AdmissionDecision::Displace { displaced, .. } if displaced == Ticket(5))
    );
    assert_eq!(model.controller.waiting(), 4);
}

#[test]
fn arrive_full_queue_without_bound() {
    let off = Protections {
        queue_limit: false,
        ..Protections::ALL
    };
    let mut model = Model::new(json!({"queue": {"length": 4}}), 1, off);
    for _ in 0..9 {
        model.arrive("batch", ms(60_000));
    }
    assert_eq!(
        model.controller.waiting(),
        8,
        "the bound is what keeps it at 4"
    );
}

/// The longest that any of a hundred refused requests of `caller` is told to
/// stay away.
fn longest_return(model: &mut Model, caller: &str) -> Duration {
    let refusals = (0..100).filter_map(|_| match model.arrive(caller, ms(60_000)) {
        AdmissionDecision::Refuse(refusal) => Some(refusal.retry_after),
        _ => None,
    });
    refusals.max().unwrap_or_default()
}

#[test]
fn refuse_storm_does_not_outlast_itself() {
    let quota = json!({"quota": {"per_second": 5, "burst": 1}});
    let terms = json!({"callers": {"batch": quota, "school": quota}});
    let mut model = Model::new(terms, 3, Protections::ALL);
    model.now = ms(1_000);
    for _ in 0..5_000 {
        model.arrive("batch", ms(60_000));
    }
    assert!(
        longest_return(&mut model, "batch") > ms(20_000),
        "many are due"
    );
    assert!(
        longest_return(&mut model, "school") < ms(25_000),
        "few are due"
    );
    model.now += ms(60_000);
    assert!(
        longest_return(&mut model, "batch") < ms(25_000),
        "none is due"
    );
}

#[test]
fn refuse_full_queue_storm_is_the_callers_own() {
    let mut model = Model::new(json!({"queue": {"length": 4}}), 1, Protections::ALL);
    for _ in 0..5 {
        model.arrive("batch", ms(900_000));
    }
    for _ in 0..30 {
        model.now += ms(100);
        model.free_one();
        model.arrive("batch", ms(900_000));
    }
    for _ in 0..5_000 {
        model.arrive("batch", ms(900_000));
    }
    let now = model.now;
    let mut one = || {
        model
            .controller
            .refuse(RefusalReason::NoTarget, now)
            .retry_after
    };
    let longest = (0..20).map(|_| one()).max().unwrap();
    assert!(
        longest < ms(10_000),
        "it pays for the storm of another: {longest:?}"
    );
}
