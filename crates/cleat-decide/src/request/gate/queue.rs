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

/// The waiting requests of all callers.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    /// Invariant: exactly the tickets in the flows' `waiting`.
    places: IndexMap<Ticket, (FlowId, Place)>,
    /// Callers with waiting requests by the time their next is due.
    heads: BTreeSet<(u128, FlowId)>,
    /// The same callers by the time their last is due.
    tails: BTreeSet<(u128, FlowId)>,
    /// All waiting requests by deadline.
    deadlines: BTreeSet<(Duration, Ticket)>,
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
        self.places.len()
    }

    pub(super) fn len_u32(&self) -> u32 {
        u32::try_from(self.places.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(super) fn virtual_now(&self) -> u128 {
        self.virtual_now
    }

    pub(super) fn first_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// A request whose deadline is before `horizon`.
    pub(super) fn due_before(&self, horizon: Duration) -> Option<Ticket> {
        let (deadline, ticket) = self.deadlines.first()?;
        (*deadline < horizon).then_some(*ticket)
    }

    /// Adds a request.
    pub(super) fn push(
        &mut self,
        ticket: Ticket,
        deadline: Duration,
        id: FlowId,
        flows: &mut Flows,
    ) {
        self.serial += 1;
        let serial = self.serial;
        let place = Place { deadline, serial };
        let virtual_now = self.virtual_now;
        self.update(id, &mut flows[id], |flow| {
            if flow.waiting.is_empty() {
                flow.due = flow.due.max(virtual_now);
            }
            flow.waiting.insert(place, ticket);
        });
        self.places.insert(ticket, (id, place));
        self.deadlines.insert((deadline, ticket));
    }

    /// Takes out the request to start next.
    pub(super) fn pop(&mut self, flows: &mut Flows) -> Option<Ticket> {
        let (due, id) = *self.heads.first()?;
        let flow = &mut flows[id];
        let ticket = *flow.waiting.first_key_value()?.1;
        self.take(ticket, id, flow);
        self.virtual_now = due;
        self.update(id, flow, |flow| flow.due += flow.cost());
        self.virtual_max = self.virtual_max.max(flow.due);
        self.end_busy_period();
        Some(ticket)
    }

    /// Takes out a request without charging it; no effect if it does not wait.
    pub(super) fn remove(&mut self, ticket: Ticket, flows: &mut Flows) {
        let Some((id, _)) = self.places.get(&ticket).copied() else {
            return;
        };
        self.take(ticket, id, &mut flows[id]);
        self.end_busy_period();
    }

    /// How many waiting requests are likely to start before a new one of `id`.
    pub(super) fn ahead_of(&self, id: FlowId, flows: &Flows) -> u32 {
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
        let Some((_, place)) = self.places.swap_remove(&ticket) else {
            return;
        };
        self.deadlines.remove(&(place.deadline, ticket));
        self.update(id, flow, |flow| {
            flow.waiting.remove(&place);
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
        if self.places.is_empty() {
            self.virtual_now = self.virtual_now.max(self.virtual_max);
        }
    }
}
