//! Start-time fair queueing over callers.
//!
//! Each caller has a virtual time at which its next request is due; the least
//! is served first and then moves on by the cost of a request over the caller's
//! weight. Only requests that start are charged, so one that is cancelled or
//! refused costs its caller nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use cleat_world::CallerTerms;
use indexmap::IndexMap;

use super::Ticket;
use super::flow::{Flow, FlowId, Place};
use super::flows::Flows;

/// One waiting request.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    flow: FlowId,
    place: Place,
    gives_up: Duration,
}

/// The waiting requests of all callers.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    /// Invariant: exactly the tickets in the flows' `waiting`.
    tickets: IndexMap<Ticket, Waiting>,
    /// Callers with waiting requests by the time their next is due.
    heads: BTreeSet<(u128, FlowId)>,
    /// The same callers by the time their last is due.
    tails: BTreeSet<(u128, FlowId)>,
    /// All waiting requests by the time at which they are given up.
    expiries: BTreeSet<(Duration, Ticket)>,
    /// The virtual time of the request started last.
    virtual_now: u128,
    /// The latest virtual time any caller reached.
    virtual_max: u128,
    /// The sum of the weights of callers with waiting requests.
    weight: u64,
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

    /// When the next request is given up.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.expiries.first().map(|(gives_up, _)| *gives_up)
    }

    /// A request to give up by now.
    pub(super) fn expired(&self, now: Duration) -> Option<Ticket> {
        let (gives_up, ticket) = self.expiries.first()?;
        (*gives_up <= now).then_some(*ticket)
    }

    /// Adds a request that is given up at `gives_up` if it did not start.
    pub(super) fn push(
        &mut self,
        ticket: Ticket,
        deadline: Duration,
        gives_up: Duration,
        id: FlowId,
        flows: &mut Flows,
        now: Duration,
    ) {
        self.serial += 1;
        let serial = self.serial;
        let place = Place { deadline, serial };
        let virtual_now = self.virtual_now;
        self.update(id, &mut flows[id], |flow| {
            if flow.waiting.is_empty() {
                flow.due = flow.due.max(virtual_now);
                flow.pace.busy(now);
            }
            flow.waiting.insert(place, ticket);
        });
        let waiting = Waiting {
            flow: id,
            place,
            gives_up,
        };
        self.tickets.insert(ticket, waiting);
        self.expiries.insert((gives_up, ticket));
    }

    /// Takes out the request to start next.
    pub(super) fn pop(&mut self, flows: &mut Flows, now: Duration) -> Option<Ticket> {
        let (due, id) = *self.heads.first()?;
        let flow = &mut flows[id];
        let ticket = *flow.waiting.first_key_value()?.1;
        flow.pace.released(false, now);
        self.take(ticket, id, flow);
        self.virtual_now = due;
        self.update(id, flow, |flow| flow.due += flow.cost());
        self.virtual_max = self.virtual_max.max(flow.due);
        self.end_busy_period();
        Some(ticket)
    }

    /// Takes out a request without charging it, and gives its caller; no effect
    /// if it does not wait.
    pub(super) fn remove(&mut self, ticket: Ticket, flows: &mut Flows) -> Option<FlowId> {
        let id = self.tickets.get(&ticket)?.flow;
        self.take(ticket, id, &mut flows[id]);
        self.end_busy_period();
        Some(id)
    }

    /// How long a new request of `id` is likely to wait, when a slot is free
    /// once in each `interval`.
    pub(super) fn wait(
        &self,
        id: FlowId,
        flows: &Flows,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        let flow = &flows[id];
        let by_all = interval.saturating_mul(self.ahead_of(id, flows));
        // What the caller really got tells of the others' load too.
        let own = u32::try_from(flow.waiting.len()).unwrap_or(u32::MAX);
        let by_own = flow.pace.interval(now).saturating_mul(own);
        by_all.max(by_own)
    }

    /// How many waiting requests are likely to start before a new one of `id`.
    fn ahead_of(&self, id: FlowId, flows: &Flows) -> u32 {
        let flow = &flows[id];
        let own = flow.waiting.len() as u64;
        let weight = flow.terms.weight.max(1);
        let others = if own > 0 {
            self.weight - weight
        } else {
            self.weight
        };
        // While one of its own starts, the others start by their weights.
        let by_share = (own + 1).saturating_mul(others) / weight + own;
        u32::try_from(by_share)
            .unwrap_or(u32::MAX)
            .min(self.len_u32())
    }

    /// The request to displace for a new one of `id`: the last of the caller
    /// that is furthest over its share, if that is further than `id` would be.
    pub(super) fn displaceable(&self, id: FlowId, flows: &Flows) -> Option<Ticket> {
        let (tail, worst) = *self.tails.last()?;
        let flow = &flows[id];
        let own_tail =
            flow.due.max(self.virtual_now) + flow.cost() * (flow.waiting.len() as u128 + 1);
        if worst == id || own_tail >= tail {
            return None;
        }
        flows[worst]
            .waiting
            .last_key_value()
            .map(|(_, ticket)| *ticket)
    }

    /// Gives a caller new terms.
    pub(super) fn reweigh(&mut self, id: FlowId, flow: &mut Flow, terms: CallerTerms) {
        self.update(id, flow, |flow| flow.terms = terms);
    }

    fn take(&mut self, ticket: Ticket, id: FlowId, flow: &mut Flow) {
        let Some(waiting) = self.tickets.swap_remove(&ticket) else {
            return;
        };
        self.expiries.remove(&(waiting.gives_up, ticket));
        self.update(id, flow, |flow| {
            flow.waiting.remove(&waiting.place);
            if flow.waiting.is_empty() {
                flow.pace.idle();
            }
        });
    }

    /// Changes a flow and keeps the orders in step with it.
    fn update(&mut self, id: FlowId, flow: &mut Flow, change: impl FnOnce(&mut Flow)) {
        if !flow.waiting.is_empty() {
            self.heads.remove(&(flow.due, id));
            self.tails.remove(&(flow.tail(), id));
            self.weight -= flow.terms.weight;
        }
        change(flow);
        if !flow.waiting.is_empty() {
            self.heads.insert((flow.due, id));
            self.tails.insert((flow.tail(), id));
            self.weight += flow.terms.weight;
        }
    }

    /// With nothing waiting, nobody owes anything.
    fn end_busy_period(&mut self) {
        if self.tickets.is_empty() {
            self.virtual_now = self.virtual_now.max(self.virtual_max);
        }
    }
}
