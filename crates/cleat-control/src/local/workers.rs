//! Workers within the process of their owner.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cleat_jobs::{EndKind, Order, OrderAnswer, RenewalAnswer, RenewalOrder, Size, TaskOrder};
use cleat_jobs::{Heartbeat, WorkerRecord};
use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::{ModelRun, ModelWorker};
use crate::{RenewalError, WorkerClient};

/// How often a waiting renewal looks for ends.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// How long a task without an estimate runs.
const DEFAULT_RUN: Duration = Duration::from_millis(100);

/// Models of workers that are called without a network. A task runs for as
/// long as its step estimates, and succeeds.
#[derive(Clone, Debug)]
pub struct LocalWorkers {
    origin: Instant,
    workers: Arc<Mutex<IndexMap<Box<str>, ModelWorker>>>,
}

impl LocalWorkers {
    /// No workers yet.
    pub fn new() -> LocalWorkers {
        LocalWorkers {
            origin: Instant::now(),
            workers: Arc::default(),
        }
    }

    /// Adds a worker and gives the heartbeat that announces it.
    pub fn add(&self, record: WorkerRecord) -> Heartbeat {
        let beat = Heartbeat {
            record: record.clone(),
            draining: false,
            sequence: 1,
        };
        let name = record.name.clone();
        let full_speed = 100;
        let worker = ModelWorker::new(record, full_speed, 0);
        self.lock().insert(name, worker);
        beat
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<Box<str>, ModelWorker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// What the worker lists, if it has an end to tell or `wait` is over.
    fn list(&self, worker: &str, wait_over: bool) -> Option<RenewalAnswer> {
        let now = self.now();
        let mut workers = self.lock();
        let worker = workers.get_mut(worker)?;
        let answer = worker.list(now);
        (wait_over || !answer.ended.is_empty()).then_some(answer)
    }

    fn planned(&self, order: &TaskOrder) -> ModelRun {
        let (size, run) = match &order.order {
            Order::Start { spec, .. } => {
                let step = spec.steps.get(usize::from(order.task.step.step));
                let size = step.map_or(Size::default(), |step| step.footprint());
                let estimate = step.map_or(0, |step| step.estimate_ms);
                (size, Duration::from_millis(estimate).max(DEFAULT_RUN))
            }
            Order::Stop | Order::Throttle(_) => (Size::default(), DEFAULT_RUN),
        };
        ModelRun {
            run: order.run,
            ends_at: self.now() + run,
            kind: EndKind::Done,
            size,
        }
    }
}

impl Default for LocalWorkers {
    fn default() -> Self {
        LocalWorkers::new()
    }
}

impl WorkerClient for LocalWorkers {
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
            let wait_over = self.now() >= deadline;
            if let Some(answer) = self.list(worker, wait_over) {
                return Ok(answer);
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    async fn order(&self, worker: &str, _: &str, token: u64, order: &TaskOrder) -> OrderAnswer {
        let planned = self.planned(order);
        let now = self.now();
        let mut workers = self.lock();
        match workers.get_mut(worker) {
            None => OrderAnswer::OtherLife,
            Some(worker) => worker.order(now, token, order, &planned),
        }
    }
}
