//! The callers known to an admission controller.

use std::ops::{Index, IndexMut};
use std::time::Duration;

use cleat_world::Service;
use indexmap::IndexMap;

use super::flow::{Flow, FlowId};
use super::queue::FairQueue;
use super::quota;

/// Idle callers are removed when at least this many were added since the last
/// sweep.
const SWEEP_AFTER: usize = 256;

/// An arena of callers. A caller is removed when none of its requests wait and
/// its fair share and quota are the same as those of a new caller.
#[derive(Debug, Default)]
pub(super) struct Flows {
    by_name: IndexMap<Box<str>, FlowId>,
    /// Invariant: every id in `by_name` is a valid index and not in `free`.
    arena: Vec<Flow>,
    free: Vec<FlowId>,
    sweep_at: usize,
}

impl Flows {
    /// The caller's id; adds the caller if it is unknown.
    pub(super) fn get_or_insert(
        &mut self,
        caller: &str,
        service: &Service,
        queue: &FairQueue,
        now: Duration,
    ) -> FlowId {
        if let Some(id) = self.by_name.get(caller) {
            return *id;
        }
        if self.by_name.len() >= self.sweep_at {
            self.sweep(queue.virtual_now(), now);
            self.sweep_at = self.by_name.len() + SWEEP_AFTER.max(self.by_name.len());
        }
        let id = self.insert(Flow::new(service.terms(caller)));
        self.by_name.insert(caller.into(), id);
        id
    }

    /// Applies new settings to all known callers.
    pub(super) fn reconfigure(&mut self, service: &Service, queue: &mut FairQueue) {
        for (name, id) in &self.by_name {
            let flow = &mut self.arena[id.0 as usize];
            queue.set_flow_terms(*id, flow, service.terms(name));
        }
    }

    pub(super) fn is_over_quota(&self, id: FlowId, now: Duration) -> bool {
        self.quota_times(id, now).0 > Duration::ZERO
    }

    /// How long until the quota allows one more request, and the time between
    /// two requests at the long-run rate. Both are zero without a quota.
    pub(super) fn quota_times(&self, id: FlowId, now: Duration) -> (Duration, Duration) {
        let flow = &self[id];
        let Some(quota) = flow.terms.quota else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let wait = flow.quota_usage.wait(&quota, now);
        (wait.unwrap_or_default(), quota::interval(&quota))
    }

    pub(super) fn charge_quota(&mut self, id: FlowId, now: Duration) {
        let flow = &mut self[id];
        if let Some(quota) = flow.terms.quota {
            flow.quota_usage.charge(&quota, now);
        }
    }

    fn insert(&mut self, flow: Flow) -> FlowId {
        if let Some(id) = self.free.pop() {
            self[id] = flow;
            return id;
        }
        let id = FlowId(u32::try_from(self.arena.len()).unwrap_or(u32::MAX));
        self.arena.push(flow);
        id
    }

    /// Removes idle callers.
    fn sweep(&mut self, virtual_now: u128, now: Duration) {
        let (arena, free) = (&self.arena, &mut self.free);
        self.by_name.retain(|_, id| {
            let flow = &arena[id.0 as usize];
            let same_as_new = flow.next_due <= virtual_now && flow.quota_usage.is_unused(now);
            let keep = !flow.waiting.is_empty() || !same_as_new;
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
