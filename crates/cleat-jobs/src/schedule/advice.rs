//! Permissions of the adviser, for queues whose tasks may only start on workers
//! that the adviser allows.

use std::time::Duration;

use super::worker::{WorkerKey, millis};
use super::{Effect, Scheduler};
use crate::collections::{IndexMap, IndexSet};
use crate::state::ControlState;
use crate::{AdviceTiming, StepId};

/// The maximum number of workers in one call. Each worker in a call adds to its
/// duration, and a step's objective leaves time for a call about 30 workers.
const MAX_WORKERS_PER_CALL: usize = 30;
/// The minimum number of workers in one call, if the pool has as many.
const MIN_WORKERS_PER_CALL: usize = 6;
/// The maximum number of concurrent calls. The adviser processes one call at a
/// time and refuses calls while more than 32 wait.
const MAX_CONCURRENT_CALLS: usize = 8;
/// How long after a failed call the next one is sent for the same step.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// A ticket that expires sooner than this is not used: the start order has to
/// reach the worker while the ticket is valid.
const START_MARGIN: Duration = Duration::from_millis(100);

/// The adviser's answers for one step. Whether a worker may run the step never
/// changes; only the tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: IndexMap<WorkerKey, Ticket>,
    /// Workers on which the step may not run.
    refused: IndexSet<WorkerKey>,
    call_pending: bool,
    /// When the adviser may be asked again after a failed call.
    retry_at: Duration,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Box<str>,
    valid_until: Duration,
}

impl Scheduler {
    /// The ticket for a step on a worker, if it is still valid.
    pub(super) fn ticket(&self, id: StepId, key: WorkerKey) -> Option<Box<str>> {
        let ticket = self.advice.get(&id)?.tickets.get(&key)?;
        (self.now + START_MARGIN < ticket.valid_until).then(|| ticket.text.clone())
    }

    /// The workers of `keys` for which the step has a valid ticket.
    pub(super) fn permitted(&self, id: StepId, keys: &[WorkerKey]) -> Vec<WorkerKey> {
        let has_ticket = |key: &&WorkerKey| self.ticket(id, **key).is_some();
        keys.iter().filter(has_ticket).copied().collect()
    }

    /// Whether the step has an adviser that has allowed none of these workers so far.
    pub(super) fn lacks_permission(&self, id: StepId, keys: &[WorkerKey]) -> bool {
        let is_advised = self.steps.get(&id).is_some_and(|step| step.advised);
        is_advised && !keys.iter().any(|key| self.ticket(id, *key).is_some())
    }

    /// The workers of `keys` on which the adviser has not forbidden to run the step.
    pub(super) fn not_refused(&self, id: StepId, keys: &[WorkerKey]) -> Vec<WorkerKey> {
        let advice = self.advice.get(&id);
        let refused = |key: &WorkerKey| advice.is_some_and(|advice| advice.refused.contains(key));
        keys.iter().filter(|key| !refused(key)).copied().collect()
    }

    /// Asks the adviser about more of these workers, if the step has an adviser and waiting
    /// tasks. Each path that places tasks calls this for those that it could not place:
    /// nothing else renews tickets.
    pub(super) fn request_permission(&mut self, id: StepId, keys: &[WorkerKey]) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let pending = step.pending.len();
        if step.advised && pending > 0 {
            self.ask_adviser(id, pending, keys);
        }
    }

    fn ask_adviser(&mut self, id: StepId, pending: usize, keys: &[WorkerKey]) {
        let pending_calls = self
            .advice
            .values()
            .filter(|advice| advice.call_pending)
            .count();
        let advice = self.advice.entry(id).or_default();
        if advice.call_pending
            || self.now < advice.retry_at
            || pending_calls >= MAX_CONCURRENT_CALLS
        {
            return;
        }
        let (now, tickets, refused) = (self.now, &advice.tickets, &advice.refused);
        let valid = |key: &WorkerKey| {
            let ticket = tickets.get(key);
            ticket.is_some_and(|ticket| now + START_MARGIN < ticket.valid_until)
        };
        let mut unknown: Vec<WorkerKey> = keys
            .iter()
            .filter(|key| !valid(key) && !refused.contains(*key))
            .copied()
            .collect();
        // Ask first about the workers with the most free processor time.
        unknown.sort_by_key(|key| std::cmp::Reverse(self.workers[*key].free_capacity().cpu_milli));
        unknown.truncate((2 * pending).clamp(MIN_WORKERS_PER_CALL, MAX_WORKERS_PER_CALL));
        if unknown.is_empty() {
            return;
        }
        advice.call_pending = true;
        let workers = unknown.into_iter().map(|key| self.worker_name(key));
        let workers = workers.collect();
        self.effects.push(Effect::Advise { step: id, workers });
    }

    /// Records the adviser's answer, which is `None` if the call failed.
    pub(super) fn handle_advice(
        &mut self,
        state: &ControlState,
        id: StepId,
        sent_at: Duration,
        asked: &[Box<str>],
        permitted: Option<Vec<(Box<str>, Box<str>)>>,
    ) {
        let queue = state.jobs.get(&id.job).map(|job| job.queue.clone());
        let policy = queue.and_then(|queue| queue.advice);
        let Some(mut advice) = self.advice.swap_remove(&id) else {
            return;
        };
        let Some(AdviceTiming { validity_ms, .. }) = policy else {
            return;
        };
        advice.call_pending = false;
        match permitted {
            None => advice.retry_at = self.now + RETRY_DELAY,
            Some(permitted) => {
                let valid_until = sent_at + Duration::from_millis(validity_ms);
                for name in asked {
                    let Some(key) = self.workers.key(name) else {
                        continue;
                    };
                    match permitted.iter().find(|(worker, _)| worker == name) {
                        Some((_, text)) => {
                            let text = text.clone();
                            advice.tickets.insert(key, Ticket { text, valid_until });
                        }
                        None => drop(advice.refused.insert(key)),
                    }
                }
                self.log(super::Decision::Advised {
                    step: id.to_string().into(),
                    asked: asked.len(),
                    good: permitted.len(),
                    took_ms: millis(self.now - sent_at),
                });
            }
        }
        self.advice.insert(id, advice);
        self.mark_step_ready(id);
    }

    /// Removes a ticket that a worker rejected.
    pub(super) fn remove_ticket(&mut self, id: StepId, key: WorkerKey) {
        if let Some(advice) = self.advice.get_mut(&id) {
            advice.tickets.swap_remove(&key);
        }
    }
}
