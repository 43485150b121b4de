//! A single-threaded discrete-event simulation of the decision logic in virtual
//! time, with fake targets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cleat_decide::{
    AdmissionDecision, Arrival, AttemptContext, AttemptOutcome, Candidate, FinalOutcome,
    Protections, RefusalReason, RetryDecision, Ticket, UnknownReason, choose_target_with,
    decide_retry, eject_slow_targets, free_slots, slot_share,
};
use cleat_world::Service;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::entry::Entry;
use crate::request::{Policy, Request};
use crate::target::{FakeTarget, exponential, work_factor};
use crate::trace::{Event, Load, Mode, Trace};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Line(usize),
    Arrive(usize),
    EndAttempt { request: usize, attempt: u32 },
    CheckQueue { entry: usize },
}

/// The state of a run.
pub(crate) struct Engine {
    service: Service,
    protections: Protections,
    policy: Policy,
    seed: u64,
    rng: StdRng,
    now: Duration,
    scheduled: BinaryHeap<Reverse<(Duration, u64, ScheduledEvent)>>,
    serial: u64,
    entries: Vec<Entry>,
    names: Vec<Box<str>>,
    targets: Vec<FakeTarget>,
    /// The outcome of the current attempt of each request.
    outcomes: Vec<AttemptOutcome>,
    pub(crate) requests: Vec<Request>,
    /// How often an attempt started at a target that had no free slot.
    pub(crate) over_cap: u64,
}

impl Engine {
    pub(crate) fn run(trace: &Trace, policy: Policy, protections: Protections) -> Engine {
        let names: Vec<Box<str>> = (0..trace.entries).map(|i| format!("e{i}").into()).collect();
        let entry = |(index, name): (usize, &str)| {
            let seed = trace.seed + index as u64;
            Entry::new(name, &trace.service, seed, protections)
        };
        let mut engine = Engine {
            service: trace.service.clone(),
            protections,
            policy,
            seed: trace.seed,
            rng: StdRng::seed_from_u64(trace.seed),
            now: Duration::ZERO,
            scheduled: BinaryHeap::new(),
            serial: 0,
            entries: names
                .iter()
                .map(|name| &**name)
                .enumerate()
                .map(entry)
                .collect(),
            names: names.clone(),
            targets: Vec::new(),
            outcomes: Vec::new(),
            requests: Vec::new(),
            over_cap: 0,
        };
        for (index, line) in trace.lines.iter().enumerate() {
            engine.schedule(
                Duration::from_millis(line.at_ms),
                ScheduledEvent::Line(index),
            );
        }
        while let Some(Reverse((at, _, scheduled_event))) = engine.scheduled.pop() {
            engine.now = at;
            engine.process(scheduled_event, trace);
        }
        engine
    }

    fn schedule(&mut self, at: Duration, scheduled_event: ScheduledEvent) {
        self.serial += 1;
        self.scheduled
            .push(Reverse((at, self.serial, scheduled_event)));
    }

    fn process(&mut self, scheduled_event: ScheduledEvent, trace: &Trace) {
        match scheduled_event {
            ScheduledEvent::Line(index) => self.event(&trace.lines[index].event),
            ScheduledEvent::Arrive(request) => self.arrive(request),
            ScheduledEvent::EndAttempt { request, attempt } => {
                if self.requests[request].attempts == attempt {
                    self.end_attempt(request, self.outcomes[request]);
                }
            }
            ScheduledEvent::CheckQueue { entry } => {
                self.entries[entry].next_check = Duration::MAX;
                self.check_queue(entry);
            }
        }
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::Setup { .. } => {}
            Event::Target {
                name,
                slots,
                service_ms,
                mode,
            } => self.set_target(name, *slots, *service_ms, *mode),
            Event::Remove { name } => {
                let removed = self.targets.iter_mut().filter(|t| t.name == *name);
                removed.for_each(|target| target.known = false);
            }
            Event::Load(load) => self.generate_requests(load),
        }
    }

    fn set_target(&mut self, name: &str, slots: u32, service_ms: f64, mode: Mode) {
        let position = self.targets.iter().position(|t| &*t.name == name);
        let index = position.unwrap_or(self.targets.len());
        let target = FakeTarget {
            name: name.into(),
            slots,
            service_ms,
            mode,
            known: true,
            running: self.targets.get(index).map_or(0, |t| t.running),
        };
        let (now, protections) = (self.now, self.protections);
        let new_incarnation = self.targets.get(index).is_some_and(|t| !t.known);
        if index == self.targets.len() {
            self.targets.push(target);
        } else {
            self.targets[index] = target;
        }
        for entry in &mut self.entries {
            entry.set_target(index, new_incarnation, now, protections);
        }
        if mode == Mode::Killed {
            self.disconnect_all(index);
        }
        for entry in 0..self.entries.len() {
            self.check_queue(entry);
        }
    }

    fn disconnect_all(&mut self, target: usize) {
        let on_it = |r: &Request| r.running.is_some_and(|(at, _)| at == target);
        let disconnected: Vec<usize> = (0..self.requests.len())
            .filter(|index| on_it(&self.requests[*index]))
            .collect();
        for request in disconnected {
            self.end_attempt(request, AttemptOutcome::ConnectionLost);
        }
    }

    fn generate_requests(&mut self, load: &Load) {
        let end = self.now + Duration::from_millis(load.for_ms);
        // Each load has its own generator, so that two traces can be compared request
        // by request.
        let mut rng = StdRng::seed_from_u64(self.load_seed(load));
        let mut at = self.now;
        loop {
            at += Duration::from_secs_f64(exponential(&mut rng) / load.per_second);
            if at >= end {
                return;
            }
            let entry = rng.random_range(0..self.entries.len());
            let factor = work_factor(&mut rng);
            self.requests.push(Request::new(load, at, entry, factor));
            self.outcomes.push(AttemptOutcome::NotSent);
            self.schedule(at, ScheduledEvent::Arrive(self.requests.len() - 1));
        }
    }

    fn load_seed(&self, load: &Load) -> u64 {
        let name = load
            .caller
            .bytes()
            .fold(0, |sum: u64, b| sum * 31 + u64::from(b));
        self.seed ^ name ^ u64::try_from(self.now.as_nanos()).unwrap_or(0)
    }

    fn arrive(&mut self, request: usize) {
        let index = self.requests[request].entry;
        let free = self.free(index);
        let entry = &mut self.entries[index];
        let arrival = Arrival {
            ticket: Ticket(request as u64),
            caller: &self.requests[request].caller,
            deadline: self.requests[request].deadline,
        };
        match entry.controller.admit(arrival, free, self.now) {
            AdmissionDecision::Start => self.start_attempt(request),
            AdmissionDecision::Wait => self.schedule_expiry(index),
            AdmissionDecision::Displace { displaced, refusal } => {
                self.refuse(displaced, refusal.reason, refusal.retry_after);
                self.schedule_expiry(index);
            }
            AdmissionDecision::Refuse(refusal) => {
                let ticket = Ticket(request as u64);
                self.refuse(ticket, refusal.reason, refusal.retry_after);
            }
        }
    }

    fn candidates(&self, entry: usize) -> Vec<Candidate> {
        let own = &self.entries[entry];
        let candidate = |(index, target): (usize, &FakeTarget)| {
            let slots = slot_share(&target.name, target.slots, &self.names, &own.name);
            Candidate {
                in_flight: own.in_flight[index],
                max_in_flight: if target.known { slots } else { 0 },
                latency_us: own.health[index].latency_us(self.now),
                ejected: self.policy == Policy::Product && own.health[index].is_ejected(self.now),
                warm_up_percent: own.health[index].warm_up_percent(self.now),
                local: true,
            }
        };
        let mut candidates: Vec<Candidate> =
            self.targets.iter().enumerate().map(candidate).collect();
        if self.policy == Policy::Product && self.protections.ejection {
            eject_slow_targets(&mut candidates);
        }
        candidates
    }

    fn free(&self, entry: usize) -> u32 {
        free_slots(&self.candidates(entry))
    }

    fn choose(&mut self, entry: usize, exclude: Option<usize>) -> Option<usize> {
        let candidates = self.candidates(entry);
        let random = self.rng.random::<u64>();
        let has_free_slot = |i: &usize| candidates[*i].in_flight < candidates[*i].max_in_flight;
        let usable: Vec<usize> = (0..candidates.len()).filter(has_free_slot).collect();
        match self.policy {
            Policy::Product => choose_target_with(&candidates, exclude, random, &self.protections)
                .or_else(|| choose_target_with(&candidates, None, random, &self.protections)),
            _ if usable.is_empty() => None,
            Policy::Random => Some(usable[self.rng.random_range(0..usable.len())]),
            Policy::RoundRobin => {
                let first = self.entries[entry].next_target;
                let next = usable.iter().find(|i| **i >= first).unwrap_or(&usable[0]);
                self.entries[entry].next_target = next + 1;
                Some(*next)
            }
        }
    }

    fn start_attempt(&mut self, request: usize) {
        let index = self.requests[request].entry;
        let Some(target) = self.choose(index, self.requests[request].last_target) else {
            let outcome = self.no_target(request);
            return self.finish(request, outcome);
        };
        self.entries[index].in_flight[target] += 1;
        self.targets[target].running += 1;
        if self.targets[target].running > self.targets[target].slots {
            self.over_cap += 1;
        }
        let planned = self.targets[target].planned_outcome(self.requests[request].work);
        let (now, req) = (self.now, &mut self.requests[request]);
        req.attempts += 1;
        req.runs += u32::from(planned.outcome.may_have_run());
        req.last_target = Some(target);
        req.running = Some((target, now));
        let ends = planned.after.map_or(req.deadline, |after| now + after);
        let late = ends >= req.deadline;
        let (attempt, ends) = (req.attempts, ends.min(req.deadline).max(now));
        self.outcomes[request] = if late {
            AttemptOutcome::TimedOut
        } else {
            planned.outcome
        };
        self.schedule(ends, ScheduledEvent::EndAttempt { request, attempt });
    }

    fn no_target(&mut self, request: usize) -> FinalOutcome {
        if self.requests[request].may_have_run {
            let reason = UnknownReason::EarlierAttempt;
            return FinalOutcome::Unknown { reason };
        }
        let index = self.requests[request].entry;
        let refusal = self.entries[index]
            .controller
            .refuse(RefusalReason::NoTarget, self.now);
        FinalOutcome::NotRun {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        }
    }

    fn end_attempt(&mut self, request: usize, outcome: AttemptOutcome) {
        let now = self.now;
        let Some((target, since)) = self.requests[request].running.take() else {
            return;
        };
        let index = self.requests[request].entry;
        self.targets[target].running -= 1;
        let entry = &mut self.entries[index];
        entry.in_flight[target] -= 1;
        entry.health[target].record(outcome, now - since, now);
        let req = &mut self.requests[request];
        let context = AttemptContext {
            idempotent: req.idempotent,
            attempts: req.attempts,
            max_attempts: u32::try_from(self.service.retry.tries).unwrap_or(u32::MAX),
            remaining: req.deadline.saturating_sub(now),
            earlier_may_have_run: req.may_have_run,
            expected_duration: entry.controller.service_time_p10(),
        };
        req.may_have_run |= outcome.may_have_run();
        if let AttemptOutcome::Answered { status } = outcome {
            req.status = status;
        }
        match decide_retry(&outcome, context, &mut entry.budget) {
            RetryDecision::Retry => self.start_attempt(request),
            RetryDecision::Answer(answer) => self.finish(request, answer),
        }
        if outcome.is_success() {
            self.entries[index]
                .controller
                .record_service_time(now - since);
        }
        self.check_queue(index);
        if let Some(until) = self.entries[index].health[target].ejected_until(now) {
            self.schedule(until, ScheduledEvent::CheckQueue { entry: index });
        }
    }

    /// Refuses expired requests and starts waiting ones while slots are free.
    fn check_queue(&mut self, index: usize) {
        let now = self.now;
        for (ticket, refusal) in self.entries[index].controller.expire(now) {
            self.refuse(ticket, refusal.reason, refusal.retry_after);
        }
        while self.entries[index].controller.waiting() > 0 && self.free(index) > 0 {
            let dequeued = self.entries[index].controller.slot_freed(None, now);
            for (ticket, refusal) in dequeued.refused {
                self.refuse(ticket, refusal.reason, refusal.retry_after);
            }
            if let Some(Ticket(request)) = dequeued.start {
                self.start_attempt(usize::try_from(request).unwrap_or(usize::MAX));
            }
        }
        self.schedule_expiry(index);
    }

    fn schedule_expiry(&mut self, entry: usize) {
        let Some(at) = self.entries[entry].controller.next_expiry() else {
            return;
        };
        let at = at.max(self.now) + Duration::from_micros(1);
        if at < self.entries[entry].next_check {
            self.entries[entry].next_check = at;
            self.schedule(at, ScheduledEvent::CheckQueue { entry });
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason, retry_after: Duration) {
        let request = usize::try_from(ticket.0).unwrap_or(usize::MAX);
        let outcome = FinalOutcome::NotRun {
            reason,
            retry_after,
        };
        self.finish(request, outcome);
    }

    fn finish(&mut self, request: usize, outcome: FinalOutcome) {
        let now = self.now;
        let req = &mut self.requests[request];
        req.end = Some((now, outcome));
        req.ends += 1;
    }
}
