//! Permissions of the adviser, for queues whose starts need one.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::worker::{WorkerKey, millis};
use super::{Effect, Scheduler};
use crate::state::ControlState;
use crate::{Advice, StepId};

/// How many workers one call names at most. Each makes the call longer; a
/// step's objective allows for a call about 30.
const MAX_WORKERS_PER_CALL: usize = 30;
/// How many workers one call names at least, where there are as many.
const MIN_WORKERS_PER_CALL: usize = 6;
/// How many calls may be under way. The adviser takes one at a time and
/// refuses more than 32 that wait.
const MAX_CONCURRENT_CALLS: usize = 8;
/// How long after a call without an answer another is sent.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// What is kept of a permission's time for the start to arrive.
const START_MARGIN: Duration = Duration::from_millis(100);

/// What the adviser said of a step. Which workers may run it never changes;
/// the tickets run out.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: IndexMap<WorkerKey, Ticket>,
    /// Workers that may not run the step.
    refused: IndexSet<WorkerKey>,
    call_pending: bool,
    /// When the adviser may be asked again.
    due: Duration,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Box<str>,
    until: Duration,
}

impl Scheduler {
    /// The permission for a step on a worker, while it is valid.
    pub(super) fn ticket(&self, id: StepId, key: WorkerKey) -> Option<Box<str>> {
        let ticket = self.advice.get(&id)?.tickets.get(&key)?;
        (self.now + START_MARGIN < ticket.until).then(|| ticket.text.clone())
    }

    /// The workers of `keys` that may run a step now.
    pub(super) fn permitted(&self, id: StepId, keys: &[WorkerKey]) -> Vec<WorkerKey> {
        let may = |key: &&WorkerKey| self.ticket(id, **key).is_some();
        keys.iter().filter(may).copied().collect()
    }

    /// Asks for permissions for a step that has tasks without a place.
    pub(super) fn ask_adviser(&mut self, id: StepId, pending: usize, keys: &[WorkerKey]) {
        let pending_calls = self
            .advice
            .values()
            .filter(|advice| advice.call_pending)
            .count();
        let advice = self.advice.entry(id).or_default();
        if advice.call_pending || self.now < advice.due || pending_calls >= MAX_CONCURRENT_CALLS {
            return;
        }
        let (now, tickets, refused) = (self.now, &advice.tickets, &advice.refused);
        let valid = |key: &WorkerKey| {
            let ticket = tickets.get(key);
            ticket.is_some_and(|ticket| now + START_MARGIN < ticket.until)
        };
        let mut unknown: Vec<WorkerKey> = keys
            .iter()
            .filter(|key| !valid(key) && !refused.contains(*key))
            .copied()
            .collect();
        // Those with the most room help most.
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

    /// Takes the adviser's answer; none if there was none.
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
        let Some(Advice { validity_ms, .. }) = policy else {
            return;
        };
        advice.call_pending = false;
        match permitted {
            None => advice.due = self.now + RETRY_DELAY,
            Some(permitted) => {
                let until = sent_at + Duration::from_millis(validity_ms);
                for name in asked {
                    let Some(key) = self.workers.key(name) else {
                        continue;
                    };
                    match permitted.iter().find(|(worker, _)| worker == name) {
                        Some((_, text)) => {
                            let text = text.clone();
                            advice.tickets.insert(key, Ticket { text, until });
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
        if let Some(pool) = self.steps.get(&id).map(|step| step.pool.clone()) {
            self.make_ready(id, pool);
        }
    }

    /// Forgets a permission that a worker did not accept.
    pub(super) fn forget_ticket(&mut self, id: StepId, key: WorkerKey) {
        if let Some(advice) = self.advice.get_mut(&id) {
            advice.tickets.swap_remove(&key);
        }
    }
}
