//! Permissions of the adviser, for queues whose starts need one.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::worker::{WorkerKey, millis};
use super::{Effect, Scheduler};
use crate::state::ControlState;
use crate::{AdviceTiming, StepId};

/// How many workers one call names at most. Each makes the call longer; a
/// step's objective allows for a call about 30.
const MOST_WORKERS: usize = 30;
/// How many workers one call names at least, where there are as many.
const FEW_WORKERS: usize = 6;
/// How many calls may be under way. The adviser takes one at a time and
/// refuses more than 32 that wait.
const CALLS_AT_ONCE: usize = 8;
/// How long after a call without an answer another is sent.
const RETRY: Duration = Duration::from_millis(300);
/// What is kept of a permission's time for the start to arrive.
const MARGIN: Duration = Duration::from_millis(100);

/// What the adviser said of a step. Which workers may run it never changes;
/// the tickets run out.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    tickets: IndexMap<WorkerKey, Ticket>,
    /// Workers that may not run the step.
    refused: IndexSet<WorkerKey>,
    asking: bool,
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
        (self.now + MARGIN < ticket.until).then(|| ticket.text.clone())
    }

    /// The workers of `keys` that may run a step now.
    pub(super) fn permitted(&self, id: StepId, keys: &[WorkerKey]) -> Vec<WorkerKey> {
        let may = |key: &&WorkerKey| self.ticket(id, **key).is_some();
        keys.iter().filter(may).copied().collect()
    }

    /// Asks for permissions for a step that has tasks without a place.
    pub(super) fn ask_adviser(&mut self, id: StepId, pending: usize, keys: &[WorkerKey]) {
        let under_way = self.advice.values().filter(|advice| advice.asking).count();
        let advice = self.advice.entry(id).or_default();
        if advice.asking || self.now < advice.due || under_way >= CALLS_AT_ONCE {
            return;
        }
        let (now, tickets, refused) = (self.now, &advice.tickets, &advice.refused);
        let valid = |key: &WorkerKey| {
            let ticket = tickets.get(key);
            ticket.is_some_and(|ticket| now + MARGIN < ticket.until)
        };
        let mut unknown: Vec<WorkerKey> = keys
            .iter()
            .filter(|key| !valid(key) && !refused.contains(*key))
            .copied()
            .collect();
        // Those with the most room help most.
        unknown.sort_by_key(|key| std::cmp::Reverse(self.workers[*key].room().cpu_milli));
        unknown.truncate((2 * pending).clamp(FEW_WORKERS, MOST_WORKERS));
        if unknown.is_empty() {
            return;
        }
        advice.asking = true;
        let workers = unknown.into_iter().map(|key| self.worker_name(key));
        let workers = workers.collect();
        self.effects.push(Effect::Advise { step: id, workers });
    }

    /// Takes the adviser's answer; none if there was none.
    pub(super) fn advised(
        &mut self,
        state: &ControlState,
        id: StepId,
        sent_at: Duration,
        asked: &[Box<str>],
        good: Option<Vec<(Box<str>, Box<str>)>>,
    ) {
        let queue = state.jobs.get(&id.job).map(|job| job.queue.clone());
        let policy = queue.and_then(|queue| queue.advice);
        let Some(mut advice) = self.advice.swap_remove(&id) else {
            return;
        };
        let Some(AdviceTiming { validity_ms, .. }) = policy else {
            return;
        };
        advice.asking = false;
        match good {
            None => advice.due = self.now + RETRY,
            Some(good) => {
                let until = sent_at + Duration::from_millis(validity_ms);
                for name in asked {
                    let Some(key) = self.workers.key(name) else {
                        continue;
                    };
                    match good.iter().find(|(worker, _)| worker == name) {
                        Some((_, text)) => {
                            let text = text.clone();
                            advice.tickets.insert(key, Ticket { text, until });
                        }
                        None => drop(advice.refused.insert(key)),
                    }
                }
                self.tell(super::Decision::Advised {
                    step: id.to_string().into(),
                    asked: asked.len(),
                    good: good.len(),
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
    pub(super) fn drop_ticket(&mut self, id: StepId, key: WorkerKey) {
        if let Some(advice) = self.advice.get_mut(&id) {
            advice.tickets.swap_remove(&key);
        }
    }
}
