//! Properties of admission control under any order of events.

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
        .expect("the service is configured")
        .clone()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An admission controller with its slots, and how each ticket ended.
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
        let decision = self.controller.admit(arrival, self.free, self.now);
        match decision {
            AdmissionDecision::Start => self.start(ticket),
            AdmissionDecision::Wait => {}
            AdmissionDecision::Displace { displaced, refusal } => self.refuse(displaced, &refusal),
            AdmissionDecision::Refuse(refusal) => self.refuse(ticket, &refusal),
        }
        decision
    }

    fn start(&mut self, ticket: Ticket) {
        assert!(self.free > 0, "started without a free slot");
        assert!(
            self.now <= self.deadlines[&ticket],
            "started after its deadline"
        );
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

    fn finish_one(&mut self) -> Option<Ticket> {
        let (_, since) = (!self.running.is_empty()).then(|| self.running.remove(0))?;
        self.free += 1;
        let service_time = self.now - since;
        let dequeued = self.controller.slot_freed(Some(service_time), self.now);
        for (ticket, refusal) in &dequeued.refused {
            self.refuse(*ticket, refusal);
        }
        if let Some(ticket) = dequeued.start {
            self.start(ticket);
        }
        dequeued.start
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
    Finish,
    Expire,
    Cancel(usize),
    Pass(u64),
    Reconfigure(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..CALLERS.len(), 0..2_000u64).prop_map(|(caller, ms)| Event::Arrive(caller, ms)),
        4 => Just(Event::Finish),
        1 => Just(Event::Expire),
        1 => (0..8usize).prop_map(Event::Cancel),
        2 => (0..300u64).prop_map(Event::Pass),
        1 => (1..9u64).prop_map(Event::Reconfigure),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn admission_any_order_ends_each_ticket_once(events in prop::collection::vec(event(), 0..300)) {
        let terms = json!({"queue": {"length": 6}, "callers": {"batch": {"quota": {"per_second": 5}}}});
        let mut model = Model::new(terms, 3, Protections::ALL);
        for event in events {
            match event {
                Event::Arrive(caller, allowed) => {
                    model.arrive(CALLERS[caller], ms(allowed));
                }
                Event::Finish => {
                    model.finish_one();
                }
                Event::Expire => model.expire(),
                Event::Cancel(position) => model.cancel(position),
                Event::Pass(passed) => model.now += ms(passed),
                Event::Reconfigure(weight) => {
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
        prop_assert!(model.live.is_empty(), "a request is still waiting");
        prop_assert_eq!(model.ended.len() as u64, model.next);
    }

    #[test]
    fn admission_backlogged_callers_share_by_weight(heavy in 1..8u64, order in prop::collection::vec(any::<bool>(), 100)) {
        let gap = share_gap(heavy, &order, Protections::ALL);
        prop_assert!(gap <= 1.0, "deviates from the shares by {}", gap);
    }
}

/// Serves two callers that always have requests waiting. Returns the maximum
/// deviation from their shares, in requests at the lower weight.
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
        let started = model.finish_one().expect("both have requests waiting");
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
fn admission_shares_without_fair_queue() {
    let off = Protections {
        fair_queue: false,
        ..Protections::ALL
    };
    let order: Vec<bool> = (0..100).map(|i| i < 50).collect();
    assert!(share_gap(2, &order, off) > 1.0);
}

#[test]
fn admit_full_queue_displaces_caller_furthest_above_share() {
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
fn admit_full_queue_without_limit() {
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
        "the queue was limited without the protection"
    );
}

/// The longest retry-after time of a hundred refused requests of `caller`.
fn max_retry_after(model: &mut Model, caller: &str) -> Duration {
    let refusals = (0..100).filter_map(|_| match model.arrive(caller, ms(60_000)) {
        AdmissionDecision::Refuse(refusal) => Some(refusal.retry_after),
        _ => None,
    });
    refusals.max().unwrap_or_default()
}

#[test]
fn refuse_burst_does_not_delay_callers_after_it() {
    let quota = json!({"quota": {"per_second": 5, "burst": 1}});
    let terms = json!({"callers": {"batch": quota, "school": quota}});
    let mut model = Model::new(terms, 3, Protections::ALL);
    model.now = ms(1_000);
    for _ in 0..5_000 {
        model.arrive("batch", ms(60_000));
    }
    assert!(
        max_retry_after(&mut model, "batch") > ms(20_000),
        "no long retry-after time while many callers have yet to return"
    );
    assert!(
        max_retry_after(&mut model, "school") < ms(25_000),
        "a long retry-after time although few callers have yet to return"
    );
    model.now += ms(60_000);
    assert!(
        max_retry_after(&mut model, "batch") < ms(25_000),
        "a long retry-after time although no caller has yet to return"
    );
}

#[test]
fn refuse_full_queue_burst_delays_only_its_caller() {
    let mut model = Model::new(json!({"queue": {"length": 4}}), 1, Protections::ALL);
    for _ in 0..5 {
        model.arrive("batch", ms(900_000));
    }
    for _ in 0..30 {
        model.now += ms(100);
        model.finish_one();
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
        "delayed by the burst of another caller: {longest:?}"
    );
}
