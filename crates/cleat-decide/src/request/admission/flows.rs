//! The callers known to a gate.

use std::ops::{Index, IndexMut};
use std::time::Duration;

use cleat_world::Service;
use indexmap::IndexMap;

use super::flow::{Flow, FlowId};
use super::queue::FairQueue;
use super::quota;

/// Idle callers are looked for when this many more are known than after the
/// last look.
const SWEEP_AFTER: usize = 256;

/// Arena of callers. One is forgotten when nothing of it waits and neither its
/// share nor its quota would decide otherwise for a newcomer.
#[derive(Debug, Default)]
pub(super) struct Flows {
    names: IndexMap<Box<str>, FlowId>,
    /// Invariant: every id in `names` is below its length and not in `free`.
    arena: Vec<Flow>,
    free: Vec<FlowId>,
    sweep_at: usize,
}

impl Flows {
    /// The caller's flow, known from now on.
    pub(super) fn enter(
        &mut self,
        caller: &str,
        service: &Service,
        queue: &FairQueue,
        now: Duration,
    ) -> FlowId {
        if let Some(id) = self.names.get(caller) {
            return *id;
        }
        if self.names.len() >= self.sweep_at {
            self.sweep(queue.virtual_now(), now);
            self.sweep_at = self.names.len() + SWEEP_AFTER.max(self.names.len());
        }
        let id = self.place(Flow::new(service.terms(caller)));
        self.names.insert(caller.into(), id);
        id
    }

    /// Takes over the callers' terms.
    pub(super) fn reconfigure(&mut self, service: &Service, queue: &mut FairQueue) {
        for (name, id) in &self.names {
            let flow = &mut self.arena[id.0 as usize];
            queue.reweigh(*id, flow, service.terms(name));
        }
    }

    pub(super) fn is_over_quota(&self, id: FlowId, now: Duration) -> bool {
        self.quota_times(id, now).0 > Duration::ZERO
    }

    /// How long until the quota allows one more request, and the time between
    /// two in the long run; zero without a quota.
    pub(super) fn quota_times(&self, id: FlowId, now: Duration) -> (Duration, Duration) {
        let flow = &self[id];
        let Some(quota) = flow.terms.quota else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let wait = flow.quota_use.wait(&quota, now);
        (wait.unwrap_or_default(), quota::interval(&quota))
    }

    pub(super) fn charge_quota(&mut self, id: FlowId, now: Duration) {
        let flow = &mut self[id];
        if let Some(quota) = flow.terms.quota {
            flow.quota_use.charge(&quota, now);
        }
    }

    fn place(&mut self, flow: Flow) -> FlowId {
        if let Some(id) = self.free.pop() {
            self[id] = flow;
            return id;
        }
        let id = FlowId(u32::try_from(self.arena.len()).unwrap_or(u32::MAX));
        self.arena.push(flow);
        id
    }

    fn sweep(&mut self, virtual_now: u128, now: Duration) {
        let (arena, free) = (&self.arena, &mut self.free);
        self.names.retain(|_, id| {
            let flow = &arena[id.0 as usize];
            let caught_up = flow.due <= virtual_now && flow.quota_use.is_unused(now);
            let keep = !flow.waiting.is_empty() || !caught_up;
            if !keep {
                free.push(*id);
            }
            keep
        });
    }
}

impl Index<FlowId> for Flows {
    type Output = Flow;

    fn index(&self, id: FlowId) -> &Flow {
        &self.arena[id.0 as usize]
    }
}

impl IndexMut<FlowId> for Flows {
    fn index_mut(&mut self, id: FlowId) -> &mut Flow {
        &mut self.arena[id.0 as usize]
    }
}
