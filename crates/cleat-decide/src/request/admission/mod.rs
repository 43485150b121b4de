//! Admission control for a service on one instance: quotas, a bounded queue that
//! is fair between callers, and deadlines.

mod flow;
mod flows;
mod queue;
mod quota;
mod release_interval;
mod service_time;
mod types;

use std::time::Duration;

use cleat_world::Service;

use crate::Protections;
use crate::retry_jitter::{PendingReturns, RetryJitter};
use flow::FlowId;
use flows::Flows;
use queue::FairQueue;
use release_interval::ReleaseInterval;
use service_time::ServiceTimeEstimator;
pub use types::{AdmissionDecision, Arrival, Dequeued, Ticket};

use super::{Refusal, RefusalReason};

/// A waiting request expires when its remaining time is less than the 90th
/// percentile of service times, but at most this fraction (1 / 4) of its time at
/// arrival is set aside for that: the long service times may be those of another
/// caller.
const SERVICE_TIME_DIVISOR: u32 = 4;

/// The flow that all callers share when fair queueing is disabled.
const SHARED_FLOW: &str = "*";

/// Decides which requests of a service start, wait or are refused.
///
/// Every ticket that arrives ends in exactly one way: it is started (by
/// [`AdmissionDecision::Start`] or [`Dequeued::start`]), refused (by
/// [`AdmissionDecision::Refuse`], [`AdmissionDecision::Displace`],
/// [`Dequeued::refused`] or [`AdmissionController::expire`]) or cancelled.
#[derive(Debug)]
pub struct AdmissionController {
    service: Service,
    flows: Flows,
    queue: FairQueue,
    release_interval: ReleaseInterval,
    service_time: ServiceTimeEstimator,
    retry_jitter: RetryJitter,
    /// The expected returns after refusals that do not depend on the caller.
    returns: PendingReturns,
    protections: Protections,
}

impl AdmissionController {
    /// A controller for `service` with an empty queue.
    pub fn new(service: &Service, seed: u64) -> AdmissionController {
        AdmissionController::with_protections(service, seed, Protections::ALL)
    }

    /// A controller with some protections disabled, for tests which show that a
    /// check fails when a protection is missing.
    #[doc(hidden)]
    pub fn with_protections(
        service: &Service,
        seed: u64,
        protections: Protections,
    ) -> AdmissionController {
        AdmissionController {
            service: service.clone(),
            flows: Flows::default(),
            queue: FairQueue::default(),
            release_interval: ReleaseInterval::default(),
            service_time: ServiceTimeEstimator::default(),
            retry_jitter: RetryJitter::new(seed, protections.retry_jitter),
            returns: PendingReturns::default(),
            protections,
        }
    }

    /// Applies new settings. Waiting requests stay in the queue; a lower limit on
    /// its length applies to new arrivals only.
    pub fn reconfigure(&mut self, service: &Service) {
        self.service = service.clone();
        self.flows.reconfigure(service, &mut self.queue);
    }

    /// Decides on a new request when `free_slots` more requests could start.
    ///
    /// The request starts only if the queue is empty and a slot is free. When a
    /// slot becomes free without a request finishing (a target joined, an ejection
    /// ended), call [`AdmissionController::slot_freed`] without a service time,
    /// once per slot while requests wait.
    pub fn admit(
        &mut self,
        arrival: Arrival<'_>,
        free_slots: u32,
        now: Duration,
    ) -> AdmissionDecision {
        let flow =
            self.flows
                .get_or_insert(self.flow_name(&arrival), &self.service, &self.queue, now);
        if self.over_quota(flow, now) {
            return AdmissionDecision::Refuse(self.refuse_caller(
                flow,
                RefusalReason::OverQuota,
                now,
            ));
        }
        let starts = free_slots > 0 && self.queue.is_empty();
        if !self.can_finish_in_time(&arrival, flow, starts, now) {
            let reason = RefusalReason::CannotFinishInTime;
            return AdmissionDecision::Refuse(self.refuse_caller(flow, reason, now));
        }
        if starts {
            self.flows.charge_quota(flow, now);
            return AdmissionDecision::Start;
        }
        self.enqueue(&arrival, flow, now)
    }

    /// Records a request that was served in `service_time` but whose slot must not
    /// be used again (the target is leaving or ejected). Otherwise call
    /// [`AdmissionController::slot_freed`].
    pub fn record_service_time(&mut self, service_time: Duration) {
        self.service_time.record(service_time);
    }

    /// Records that a slot is free: its request finished, after `service_time` if
    /// it was served, or the slot is new. Starts at most one waiting request, so
    /// call this only if [`choose_target`](crate::choose_target) returns a target.
    pub fn slot_freed(&mut self, service_time: Option<Duration>, now: Duration) -> Dequeued {
        if let Some(service_time) = service_time {
            self.record_service_time(service_time);
        }
        self.release_interval
            .record_release(self.queue.is_empty(), now);
        let refused = self.expire(now);
        let start = self.queue.pop(&mut self.flows, now);
        if self.queue.is_empty() {
            self.release_interval.stop();
        }
        Dequeued { start, refused }
    }

    /// Removes a waiting request whose caller disconnected. No effect if it is not
    /// waiting.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket, &mut self.flows);
        if self.queue.is_empty() {
            self.release_interval.stop();
        }
    }

    /// Removes and refuses the requests that can no longer finish in time.
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

    /// The time of the next call to [`AdmissionController::expire`] that refuses a
    /// request, if any waits.
    pub fn next_expiry(&self) -> Option<Duration> {
        let next = self.queue.next_expiry();
        next.filter(|_| self.protections.deadline)
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The 10th percentile of service times (one request in ten is faster); zero if
    /// unknown.
    pub fn service_time_p10(&self) -> Duration {
        self.service_time.p10()
    }

    /// A refusal for a reason that the entry determined, with a random retry-after
    /// time.
    pub fn refuse(&mut self, reason: RefusalReason, now: Duration) -> Refusal {
        let (backlog, interval) = self.backlog(now);
        let returns = &mut self.returns;
        let retry_after = self.retry_jitter.next(returns, backlog, interval, now);
        Refusal {
            reason,
            retry_after,
        }
    }

    /// A refusal that only affects the retry-after times of the same caller.
    fn refuse_caller(&mut self, flow: FlowId, reason: RefusalReason, now: Duration) -> Refusal {
        let (earliest, interval) = match reason {
            RefusalReason::OverQuota => self.flows.quota_times(flow, now),
            _ => self.backlog(now),
        };
        let returns = &mut self.flows[flow].returns;
        let retry_after = self.retry_jitter.next(returns, earliest, interval, now);
        Refusal {
            reason,
            retry_after,
        }
    }

    /// How long it takes to start all waiting requests, and to start one of them.
    fn backlog(&self, now: Duration) -> (Duration, Duration) {
        let interval = self.release_interval.expected(now);
        (interval.saturating_mul(self.queue.len_u32()), interval)
    }

    /// The name of the flow that the request is accounted to. Without fair queueing
    /// all callers share one flow.
    fn flow_name<'a>(&self, arrival: &Arrival<'a>) -> &'a str {
        if self.protections.fair_queue {
            arrival.caller
        } else {
            SHARED_FLOW
        }
    }

    fn over_quota(&self, flow: FlowId, now: Duration) -> bool {
        self.protections.quota && self.flows.is_over_quota(flow, now)
    }

    /// Whether the request is likely to finish in time.
    fn can_finish_in_time(
        &mut self,
        arrival: &Arrival<'_>,
        flow: FlowId,
        starts: bool,
        now: Duration,
    ) -> bool {
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
        let interval = self.release_interval.expected(now);
        let wait = self.queue.expected_wait(flow, &self.flows, interval, now);
        wait + self.reserved_service_time(remaining) <= remaining
    }

    /// The service time to set aside for a request with `remaining` time left.
    fn reserved_service_time(&self, remaining: Duration) -> Duration {
        self.service_time
            .p90()
            .min(remaining / SERVICE_TIME_DIVISOR)
    }

    /// Adds the request to the queue, displacing another one if it is full.
    fn enqueue(&mut self, arrival: &Arrival<'_>, flow: FlowId, now: Duration) -> AdmissionDecision {
        let length = usize::try_from(self.service.queue.length).unwrap_or(usize::MAX);
        let full = self.protections.queue_limit && self.queue.len() >= length;
        let displaced = if full {
            self.queue.request_to_displace(flow, &self.flows)
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
            self.release_interval.start(now);
        }
        self.flows.charge_quota(flow, now);
        let service_time = self.reserved_service_time(arrival.deadline.saturating_sub(now));
        let expires_at = arrival.deadline.saturating_sub(service_time);
        let (ticket, deadline) = (arrival.ticket, arrival.deadline);
        self.queue
            .push(ticket, deadline, expires_at, flow, &mut self.flows, now);
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
