//! A single-threaded loop in virtual time over the decisions, with fake targets.

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
enum Step {
    Line(usize),
    Arrive(usize),
    EndTry { request: usize, attempt: u32 },
    Look { entry: usize },
}

/// The whole run.
pub(crate) struct Engine {
    service: Service,
    protections: Protections,
    policy: Policy,
    seed: u64,
    rng: StdRng,
    now: Duration,
    steps: BinaryHeap<Reverse<(Duration, u64, Step)>>,
    serial: u64,
    entries: Vec<Entry>,
    names: Vec<Box<str>>,
    targets: Vec<FakeTarget>,
    fates: Vec<AttemptOutcome>,
    pub(crate) requests: Vec<Request>,
    /// Moments at which a target had more tries than slots.
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
            steps: BinaryHeap::new(),
            serial: 0,
            entries: names
                .iter()
                .map(|name| &**name)
                .enumerate()
                .map(entry)
                .collect(),
            names: names.clone(),
            targets: Vec::new(),
            fates: Vec::new(),
            requests: Vec::new(),
            over_cap: 0,
        };
        for (index, line) in trace.lines.iter().enumerate() {
            engine.plan(Duration::from_millis(line.at_ms), Step::Line(index));
        }
        while let Some(Reverse((at, _, step))) = engine.steps.pop() {
            engine.now = at;
            engine.step(step, trace);
        }
        engine
    }

    fn plan(&mut self, at: Duration, step: Step) {
        self.serial += 1;
        self.steps.push(Reverse((at, self.serial, step)));
    }

    fn step(&mut self, step: Step, trace: &Trace) {
        match step {
            Step::Line(index) => self.event(&trace.lines[index].event),
            Step::Arrive(request) => self.arrive(request),
            Step::EndTry { request, attempt } => {
                if self.requests[request].tries == attempt {
                    self.end_try(request, self.fates[request]);
                }
            }
            Step::Look { entry } => {
                self.entries[entry].planned = Duration::MAX;
                self.look(entry);
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
                let named = self.targets.iter_mut().filter(|t| t.name == *name);
                named.for_each(|target| target.known = false);
            }
            Event::Load(load) => self.expand(load),
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
        let new_life = self.targets.get(index).is_some_and(|t| !t.known);
        if index == self.targets.len() {
            self.targets.push(target);
        } else {
            self.targets[index] = target;
        }
        for entry in &mut self.entries {
            entry.learn(index, new_life, now, protections);
        }
        if mode == Mode::Killed {
            self.cut_all(index);
        }
        for entry in 0..self.entries.len() {
            self.look(entry);
        }
    }

    fn cut_all(&mut self, target: usize) {
        let on_it = |r: &Request| r.running.is_some_and(|(at, _)| at == target);
        let cut: Vec<usize> = (0..self.requests.len())
            .filter(|index| on_it(&self.requests[*index]))
            .collect();
        for request in cut {
            self.end_try(request, AttemptOutcome::ConnectionLost);
        }
    }

    fn expand(&mut self, load: &Load) {
        let end = self.now + Duration::from_millis(load.for_ms);
        // Of its own, so that two traces can be compared request by request.
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
            self.fates.push(AttemptOutcome::NotSent);
            self.plan(at, Step::Arrive(self.requests.len() - 1));
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
            AdmissionDecision::Start => self.start_try(request),
            AdmissionDecision::Wait => self.look_at_expiry(index),
            AdmissionDecision::Displace { displaced, refusal } => {
                self.refuse(displaced, refusal.reason, refusal.retry_after);
                self.look_at_expiry(index);
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
            let whole = slot_share(&target.name, target.slots, &self.names, &own.name);
            Candidate {
                in_flight: own.in_flight[index],
                max_in_flight: if target.known { whole } else { 0 },
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

    fn pick(&mut self, entry: usize, exclude: Option<usize>) -> Option<usize> {
        let candidates = self.candidates(entry);
        let random = self.rng.random::<u64>();
        let open = |i: &usize| candidates[*i].in_flight < candidates[*i].max_in_flight;
        let open: Vec<usize> = (0..candidates.len()).filter(open).collect();
        match self.policy {
            Policy::Product => choose_target_with(&candidates, exclude, random, &self.protections)
                .or_else(|| choose_target_with(&candidates, None, random, &self.protections)),
            _ if open.is_empty() => None,
            Policy::Random => Some(open[self.rng.random_range(0..open.len())]),
            Policy::RoundRobin => {
                let turn = self.entries[entry].turn;
                let next = open.iter().find(|i| **i >= turn).unwrap_or(&open[0]);
                self.entries[entry].turn = next + 1;
                Some(*next)
            }
        }
    }

    fn start_try(&mut self, request: usize) {
        let index = self.requests[request].entry;
        let Some(target) = self.pick(index, self.requests[request].last_target) else {
            let outcome = self.no_room(request);
            return self.finish(request, outcome);
        };
        self.entries[index].in_flight[target] += 1;
        self.targets[target].running += 1;
        if self.targets[target].running > self.targets[target].slots {
            self.over_cap += 1;
        }
        let fate = self.targets[target].fate(self.requests[request].work);
        let (now, req) = (self.now, &mut self.requests[request]);
        req.tries += 1;
        req.runs += u32::from(fate.outcome.may_have_run());
        req.last_target = Some(target);
        req.running = Some((target, now));
        let ends = fate.after.map_or(req.deadline, |after| now + after);
        let late = ends >= req.deadline;
        let (attempt, ends) = (req.tries, ends.min(req.deadline).max(now));
        self.fates[request] = if late {
            AttemptOutcome::TimedOut
        } else {
            fate.outcome
        };
        self.plan(ends, Step::EndTry { request, attempt });
    }

    fn no_room(&mut self, request: usize) -> FinalOutcome {
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

    fn end_try(&mut self, request: usize, outcome: AttemptOutcome) {
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
        let facts = AttemptContext {
            idempotent: req.idempotent,
            attempts: req.tries,
            max_attempts: u32::try_from(self.service.retry.tries).unwrap_or(u32::MAX),
            remaining: req.deadline.saturating_sub(now),
            earlier_may_have_run: req.may_have_run,
            expected_duration: entry.controller.service_time_p10(),
        };
        req.may_have_run |= outcome.may_have_run();
        if let AttemptOutcome::Answered { status } = outcome {
            req.status = status;
        }
        match decide_retry(&outcome, facts, &mut entry.budget) {
            RetryDecision::Retry => self.start_try(request),
            RetryDecision::Answer(answer) => self.finish(request, answer),
        }
        if outcome.is_success() {
            self.entries[index]
                .controller
                .record_service_time(now - since);
        }
        self.look(index);
        if let Some(until) = self.entries[index].health[target].ejected_until(now) {
            self.plan(until, Step::Look { entry: index });
        }
    }

    /// Expires what is due and starts what waits on every free slot.
    fn look(&mut self, index: usize) {
        let now = self.now;
        for (ticket, refusal) in self.entries[index].controller.expire(now) {
            self.refuse(ticket, refusal.reason, refusal.retry_after);
        }
        while self.entries[index].controller.waiting() > 0 && self.free(index) > 0 {
            let released = self.entries[index].controller.slot_freed(None, now);
            for (ticket, refusal) in released.refused {
                self.refuse(ticket, refusal.reason, refusal.retry_after);
            }
            if let Some(Ticket(request)) = released.start {
                self.start_try(usize::try_from(request).unwrap_or(usize::MAX));
            }
        }
        self.look_at_expiry(index);
    }

    fn look_at_expiry(&mut self, entry: usize) {
        let Some(at) = self.entries[entry].controller.next_expiry() else {
            return;
        };
        let at = at.max(self.now) + Duration::from_micros(1);
        if at < self.entries[entry].planned {
            self.entries[entry].planned = at;
            self.plan(at, Step::Look { entry });
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
