//! A worker client that calls simulated workers within the same process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cleat_jobs::{EndKind, Order, OrderAnswer, RenewalAnswer, RenewalOrder, Size, TaskOrder};
use cleat_jobs::{Heartbeat, WorkerRecord};
use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::{SimulatedRun, SimulatedWorker};
use crate::{RenewalError, WorkerClient};

/// How often a waiting renewal checks for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The minimum run time of a task, used in particular if its step has no estimate.
const MIN_RUN_TIME: Duration = Duration::from_millis(100);

/// Simulated workers that are called without a network. Each run takes the estimated
/// time of its step, and succeeds.
#[derive(Clone, Debug)]
pub struct InProcessWorkers {
    origin: Instant,
    workers: Arc<Mutex<IndexMap<Box<str>, SimulatedWorker>>>,
}

impl InProcessWorkers {
    /// Creates a client without workers.
    pub fn new() -> InProcessWorkers {
        InProcessWorkers {
            origin: Instant::now(),
            workers: Arc::default(),
        }
    }

    /// Adds a worker, and returns the heartbeat that announces it.
    pub fn add(&self, record: WorkerRecord) -> Heartbeat {
        let heartbeat = Heartbeat {
            record: record.clone(),
            draining: false,
            sequence: 1,
        };
        let name = record.name.clone();
        let full_speed = 100;
        let worker = SimulatedWorker::new(record, full_speed, 0);
        self.lock().insert(name, worker);
        heartbeat
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<Box<str>, SimulatedWorker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The worker's report, if it contains an ended run or the wait has expired.
    fn report(&self, worker: &str, wait_expired: bool) -> Option<RenewalAnswer> {
        let now = self.now();
        let mut workers = self.lock();
        let worker = workers.get_mut(worker)?;
        let answer = worker.report(now);
        (wait_expired || !answer.ended.is_empty()).then_some(answer)
    }

    fn planned(&self, order: &TaskOrder) -> SimulatedRun {
        let (size, run) = match &order.order {
            Order::Start { spec, .. } => {
                let step = spec.steps.get(usize::from(order.task.step.step));
                let size = step.map_or(Size::default(), |step| step.footprint());
                let estimate = step.map_or(0, |step| step.estimate_ms);
                (size, Duration::from_millis(estimate).max(MIN_RUN_TIME))
            }
            Order::Stop | Order::Throttle(_) => (Size::default(), MIN_RUN_TIME),
        };
        SimulatedRun {
            run: order.run,
            ends_at: self.now() + run,
            end_kind: EndKind::Done,
            size,
        }
    }
}

impl Default for InProcessWorkers {
    fn default() -> Self {
        InProcessWorkers::new()
    }
}

impl WorkerClient for InProcessWorkers {
    async fn renew(
        &self,
        worker: &str,
        _: &str,
        order: RenewalOrder,
    ) -> Result<RenewalAnswer, RenewalError> {
        let deadline = self.now() + order.wait;
        let known = {
            let now = self.now();
            let mut workers = self.lock();
            let worker = workers.get_mut(worker);
            worker.map(|worker| worker.renew(now, &order))
        };
        match known {
            None => return Err(RenewalError::OtherLife),
            Some(false) => {
                return Ok(RenewalAnswer {
                    fenced: true,
                    ..RenewalAnswer::default()
                });
            }
            Some(true) => {}
        }
        loop {
            let wait_expired = self.now() >= deadline;
            if let Some(answer) = self.report(worker, wait_expired) {
                return Ok(answer);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn send_order(
        &self,
        worker: &str,
        _: &str,
        token: u64,
        order: &TaskOrder,
    ) -> OrderAnswer {
        let planned = self.planned(order);
        let now = self.now();
        let mut workers = self.lock();
        match workers.get_mut(worker) {
            None => OrderAnswer::OtherLife,
            Some(worker) => worker.execute_order(now, token, order, &planned),
        }
    }
}
