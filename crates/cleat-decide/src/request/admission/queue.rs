//! Start-time fair queueing over callers.
//!
//! Each caller has a virtual time at which its next request is due. The caller
//! with the earliest one is served first, and its time then advances by the cost
//! of a request divided by the caller's weight. Only requests that start are
//! charged; one that is cancelled or refused costs its caller nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use cleat_world::CallerTerms;
use indexmap::IndexMap;

use super::Ticket;
use super::flow::{Flow, FlowId, QueueKey};
use super::flows::Flows;

/// One waiting request.
#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    flow: FlowId,
    key: QueueKey,
    expires_at: Duration,
}

/// The waiting requests of all callers.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    /// Invariant: holds exactly the tickets in the flows' `waiting`.
    tickets: IndexMap<Ticket, QueuedRequest>,
    /// Callers with waiting requests, by [`Flow::next_due`].
    by_next_due: BTreeSet<(u128, FlowId)>,
    /// The same callers, by [`Flow::finish`].
    by_finish: BTreeSet<(u128, FlowId)>,
    /// All waiting requests, by the time at which they expire.
    expiries: BTreeSet<(Duration, Ticket)>,
    /// The virtual time at which the last started request was due.
    virtual_now: u128,
    /// The latest virtual time that any caller reached.
    virtual_max: u128,
    /// The sum of the weights of callers with waiting requests.
    total_weight: u64,
    serial: u64,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.tickets.len()
    }

    pub(super) fn len_u32(&self) -> u32 {
        u32::try_from(self.tickets.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    pub(super) fn virtual_now(&self) -> u128 {
        self.virtual_now
    }

    /// The time at which the next request expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(expires_at, _)| *expires_at)
    }

    /// A request that has expired by `now`.
    pub(super) fn expired(&self, now: Duration) -> Option<Ticket> {
        let (expires_at, ticket) = self.expiries.first()?;
        (*expires_at <= now).then_some(*ticket)
    }

    /// Adds a request that expires at `expires_at` if it has not started by then.
    pub(super) fn push(
        &mut self,
        ticket: Ticket,
        deadline: Duration,
        expires_at: Duration,
        id: FlowId,
        flows: &mut Flows,
        now: Duration,
    ) {
        self.serial += 1;
        let serial = self.serial;
        let key = QueueKey { deadline, serial };
        let virtual_now = self.virtual_now;
        self.update(id, &mut flows[id], |flow| {
            if flow.waiting.is_empty() {
                flow.next_due = flow.next_due.max(virtual_now);
                flow.start_interval.start(now);
            }
            flow.waiting.insert(key, ticket);
        });
        let request = QueuedRequest {
            flow: id,
            key,
            expires_at,
        };
        self.tickets.insert(ticket, request);
        self.expiries.insert((expires_at, ticket));
    }

    /// Removes the request to start next and charges its caller.
    pub(super) fn pop(&mut self, flows: &mut Flows, now: Duration) -> Option<Ticket> {
        let (due, id) = *self.by_next_due.first()?;
        let flow = &mut flows[id];
        let ticket = *flow.waiting.first_key_value()?.1;
        flow.start_interval.record_release(false, now);
        self.detach(ticket, id, flow);
        self.virtual_now = due;
        self.update(id, flow, |flow| flow.next_due += flow.cost());
        self.virtual_max = self.virtual_max.max(flow.next_due);
        self.end_busy_period();
        Some(ticket)
    }

    /// Removes a request without charging it and returns its caller. No effect if
    /// it is not waiting.
    pub(super) fn remove(&mut self, ticket: Ticket, flows: &mut Flows) -> Option<FlowId> {
        let id = self.tickets.get(&ticket)?.flow;
        self.detach(ticket, id, &mut flows[id]);
        self.end_busy_period();
        Some(id)
    }

    /// How long a new request of `id` is likely to wait if one slot is freed per
    /// `interval`.
    pub(super) fn expected_wait(
        &self,
        id: FlowId,
        flows: &Flows,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        let flow = &flows[id];
        let by_queue = interval.saturating_mul(self.requests_ahead(id, flows));
        // The rate at which the caller's own requests started also reflects the
        // load of the others.
        let own = u32::try_from(flow.waiting.len()).unwrap_or(u32::MAX);
        let by_own = flow.start_interval.expected(now).saturating_mul(own);
        by_queue.max(by_own)
    }

    /// How many waiting requests are likely to start before a new one of `id`.
    fn requests_ahead(&self, id: FlowId, flows: &Flows) -> u32 {
        let flow = &flows[id];
        let own = flow.waiting.len() as u64;
        let weight = flow.terms.weight.max(1);
        let others = if own > 0 {
            self.total_weight - weight
        } else {
            self.total_weight
        };
        // For each request of this caller, the others start in proportion to their
        // weights.
        let by_share = (own + 1).saturating_mul(others) / weight + own;
        u32::try_from(by_share)
            .unwrap_or(u32::MAX)
            .min(self.len_u32())
    }

    /// The request to displace for a new one of `id`: the last request of the
    /// caller furthest above its share, if `id` would be less far above its own.
    pub(super) fn request_to_displace(&self, id: FlowId, flows: &Flows) -> Option<Ticket> {
        let (finish, furthest) = *self.by_finish.last()?;
        let flow = &flows[id];
        let own_finish =
            flow.next_due.max(self.virtual_now) + flow.cost() * (flow.waiting.len() as u128 + 1);
        if furthest == id || own_finish >= finish {
            return None;
        }
        flows[furthest]
            .waiting
            .last_key_value()
            .map(|(_, ticket)| *ticket)
    }

    /// Applies new settings to a caller.
    pub(super) fn set_flow_terms(&mut self, id: FlowId, flow: &mut Flow, terms: CallerTerms) {
        self.update(id, flow, |flow| flow.terms = terms);
    }

    /// Removes a request from all indexes.
    fn detach(&mut self, ticket: Ticket, id: FlowId, flow: &mut Flow) {
        let Some(request) = self.tickets.swap_remove(&ticket) else {
            return;
        };
        self.expiries.remove(&(request.expires_at, ticket));
        self.update(id, flow, |flow| {
            flow.waiting.remove(&request.key);
            if flow.waiting.is_empty() {
                flow.start_interval.stop();
            }
        });
    }

    /// Changes a flow and updates the indexes that depend on it.
    fn update(&mut self, id: FlowId, flow: &mut Flow, change: impl FnOnce(&mut Flow)) {
        if !flow.waiting.is_empty() {
            self.by_next_due.remove(&(flow.next_due, id));
            self.by_finish.remove(&(flow.finish(), id));
            self.total_weight -= flow.terms.weight;
        }
        change(flow);
        if !flow.waiting.is_empty() {
            self.by_next_due.insert((flow.next_due, id));
            self.by_finish.insert((flow.finish(), id));
            self.total_weight += flow.terms.weight;
        }
    }

    /// Ends the busy period when the queue is empty: virtual time advances past all
    /// callers, so that none of them starts the next period with a debt.
    fn end_busy_period(&mut self) {
        if self.tickets.is_empty() {
            self.virtual_now = self.virtual_now.max(self.virtual_max);
        }
    }
}
