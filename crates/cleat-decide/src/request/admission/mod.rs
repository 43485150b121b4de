//! Admission to a service on one instance: quotas, a bounded queue that is fair
//! by caller, and deadlines.

mod flow;
mod flows;
mod pace;
mod queue;
mod quota;
mod service_time;
mod types;

use std::time::Duration;

use cleat_world::Service;

use crate::Protections;
use crate::spread::{Returns, Spread};
use flow::FlowId;
use flows::Flows;
use pace::Pace;
use queue::FairQueue;
use service_time::ServiceTimeEstimator;
pub use types::{AdmissionDecision, Arrival, Dequeued, Ticket};

use super::{Refusal, RefusalReason};

/// A waiting request is given up when the time left is what nine in ten take,
/// but not before this part of its time is left: the work of another caller may
/// be what takes long.
const WORK_PART_OF_REMAINING: u32 = 4;

const ONE_FOR_ALL: &str = "*";

/// Decides which requests of a service start, wait or are refused.
///
/// Every ticket that arrived ends in exactly one way: it starts (by
/// [`AdmissionDecision::Start`] or [`Dequeued::start`]), it is refused (by
/// [`AdmissionDecision::Refuse`], [`AdmissionDecision::Displace`], [`Dequeued::refused`] or
/// [`AdmissionController::expire`]) or it is cancelled.
#[derive(Debug)]
pub struct AdmissionController {
    terms: Service,
    flows: Flows,
    queue: FairQueue,
    pace: Pace,
    service_time: ServiceTimeEstimator,
    spread: Spread,
    /// Of refusals that are no caller's own.
    returns: Returns,
    protections: Protections,
}

impl AdmissionController {
    /// The gate of `service` with nothing waiting.
    pub fn new(service: &Service, seed: u64) -> AdmissionController {
        AdmissionController::with_protections(service, seed, Protections::ALL)
    }

    /// A gate with some protections off, for tests of the tests.
    #[doc(hidden)]
    pub fn with_protections(
        service: &Service,
        seed: u64,
        protections: Protections,
    ) -> AdmissionController {
        AdmissionController {
            terms: service.clone(),
            flows: Flows::default(),
            queue: FairQueue::default(),
            pace: Pace::default(),
            service_time: ServiceTimeEstimator::default(),
            spread: Spread::new(seed, protections.spread),
            returns: Returns::default(),
            protections,
        }
    }

    /// Takes over new terms; what waits stays. A shorter queue holds for
    /// arrivals from now on.
    pub fn reconfigure(&mut self, service: &Service) {
        self.terms = service.clone();
        self.flows.reconfigure(service, &mut self.queue);
    }

    /// Decides on a new request while `free_slots` more could start.
    ///
    /// It starts only if nothing waits and a slot is free. A slot that appears
    /// otherwise than by a finished request (a target joined, an ejection
    /// ended) is announced by [`AdmissionController::slot_freed`] without a service time, once
    /// for each slot as long as something waits.
    pub fn admit(
        &mut self,
        arrival: Arrival<'_>,
        free_slots: u32,
        now: Duration,
    ) -> AdmissionDecision {
        let flow = self
            .flows
            .enter(self.payer(&arrival), &self.terms, &self.queue, now);
        if self.over_quota(flow, now) {
            return AdmissionDecision::Refuse(self.refuse_caller(
                flow,
                RefusalReason::OverQuota,
                now,
            ));
        }
        let starts = free_slots > 0 && self.queue.is_empty();
        if !self.fits(&arrival, flow, starts, now) {
            let reason = RefusalReason::CannotFinishInTime;
            return AdmissionDecision::Refuse(self.refuse_caller(flow, reason, now));
        }
        if starts {
            self.flows.charge_quota(flow, now);
            return AdmissionDecision::Start;
        }
        self.wait(&arrival, flow, now)
    }

    /// A request was served in `service_time`, but its slot may not be used
    /// again (the target is leaving or ejected). Else see [`AdmissionController::slot_freed`].
    pub fn record_service_time(&mut self, service_time: Duration) {
        self.service_time.record(service_time);
    }

    /// A slot is free: its request finished, after `service_time` if it was
    /// served, or the slot is new. At most one waiting request starts, so it is
    /// called only if [`choose_target`](crate::choose_target) has a target to offer.
    pub fn slot_freed(&mut self, service_time: Option<Duration>, now: Duration) -> Dequeued {
        if let Some(service_time) = service_time {
            self.record_service_time(service_time);
        }
        self.pace.released(self.queue.is_empty(), now);
        let refused = self.expire(now);
        let start = self.queue.pop(&mut self.flows, now);
        if self.queue.is_empty() {
            self.pace.idle();
        }
        Dequeued { start, refused }
    }

    /// Forgets a waiting request whose caller went away; no effect if it does
    /// not wait.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket, &mut self.flows);
        if self.queue.is_empty() {
            self.pace.idle();
        }
    }

    /// Takes out and refuses what can no longer finish in time.
    pub fn expire(&mut self, now: Duration) -> Vec<(Ticket, Refusal)> {
        if !self.protections.deadline {
            return Vec::new();
        }
        let mut refused = Vec::new();
        while let Some(ticket) = self.queue.expired(now) {
            let Some(flow) = self.queue.remove(ticket, &mut self.flows) else {
                break;
            };
            let reason = RefusalReason::CannotFinishInTime;
            refused.push((ticket, self.refuse_caller(flow, reason, now)));
        }
        refused
    }

    /// When [`AdmissionController::expire`] has something to do next, if anything waits.
    pub fn next_expiry(&self) -> Option<Duration> {
        let next = self.queue.next_expiry();
        next.filter(|_| self.protections.deadline)
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// What a quick request takes (one in ten is quicker), zero if unknown.
    pub fn service_time_p10(&self) -> Duration {
        self.service_time.p10()
    }

    /// A refusal for a cause that the entry found, with a spread time to come
    /// back.
    pub fn refuse(&mut self, reason: RefusalReason, now: Duration) -> Refusal {
        let (backlog, interval) = self.backlog(now);
        let returns = &mut self.returns;
        let retry_after = self.spread.next(returns, backlog, interval, now);
        Refusal {
            reason,
            retry_after,
        }
    }

    /// A refusal that counts among those of one caller only.
    fn refuse_caller(&mut self, flow: FlowId, reason: RefusalReason, now: Duration) -> Refusal {
        let (earliest, interval) = match reason {
            RefusalReason::OverQuota => self.flows.quota_times(flow, now),
            _ => self.backlog(now),
        };
        let returns = &mut self.flows[flow].returns;
        let retry_after = self.spread.next(returns, earliest, interval, now);
        Refusal {
            reason,
            retry_after,
        }
    }

    /// How long all that waits takes to start, and one of it.
    fn backlog(&self, now: Duration) -> (Duration, Duration) {
        let interval = self.pace.interval(now);
        (interval.saturating_mul(self.queue.len_u32()), interval)
    }

    /// Without fair queueing all callers share one account.
    fn payer<'a>(&self, arrival: &Arrival<'a>) -> &'a str {
        if self.protections.fair_queue {
            arrival.caller
        } else {
            ONE_FOR_ALL
        }
    }

    fn over_quota(&self, flow: FlowId, now: Duration) -> bool {
        self.protections.quota && self.flows.is_over_quota(flow, now)
    }

    /// Whether the request is likely to finish in time.
    fn fits(&mut self, arrival: &Arrival<'_>, flow: FlowId, starts: bool, now: Duration) -> bool {
        if !self.protections.deadline {
            return true;
        }
        let remaining = arrival.deadline.saturating_sub(now);
        if remaining.is_zero() {
            return false;
        }
        if remaining < self.service_time_p10() {
            self.service_time.reduce_p10();
            return false;
        }
        if starts {
            return true;
        }
        let interval = self.pace.interval(now);
        let wait = self.queue.wait(flow, &self.flows, interval, now);
        wait + self.work_time(remaining) <= remaining
    }

    /// The time to leave for the work of a request with `remaining` left.
    fn work_time(&self, remaining: Duration) -> Duration {
        self.service_time
            .p90()
            .min(remaining / WORK_PART_OF_REMAINING)
    }

    fn wait(&mut self, arrival: &Arrival<'_>, flow: FlowId, now: Duration) -> AdmissionDecision {
        let length = usize::try_from(self.terms.queue.length).unwrap_or(usize::MAX);
        let full = self.protections.queue_bound && self.queue.len() >= length;
        let displaced = if full {
            self.queue.displaceable(flow, &self.flows)
        } else {
            None
        };
        if full && displaced.is_none() {
            return AdmissionDecision::Refuse(self.refuse_caller(
                flow,
                RefusalReason::QueueFull,
                now,
            ));
        }
        if self.queue.is_empty() {
            self.pace.busy(now);
        }
        self.flows.charge_quota(flow, now);
        let work = self.work_time(arrival.deadline.saturating_sub(now));
        let gives_up = arrival.deadline.saturating_sub(work);
        let (ticket, deadline) = (arrival.ticket, arrival.deadline);
        self.queue
            .push(ticket, deadline, gives_up, flow, &mut self.flows, now);
        self.displace(displaced, now)
    }

    fn displace(&mut self, displaced: Option<Ticket>, now: Duration) -> AdmissionDecision {
        let Some(displaced) = displaced else {
            return AdmissionDecision::Wait;
        };
        let Some(flow) = self.queue.remove(displaced, &mut self.flows) else {
            return AdmissionDecision::Wait;
        };
        let refusal = self.refuse_caller(flow, RefusalReason::Displaced, now);
        AdmissionDecision::Displace { displaced, refusal }
    }
}
