//! A simulated worker: its runs, its lease, and the fencing token of its owner.

use std::time::Duration;

use cleat_jobs::{
    End, EndKind, Order, OrderAnswer, RenewalAnswer, RenewalOrder, Run, RunningTask, Size, TaskEnd,
    TaskId, TaskOrder, WorkerRecord,
};
use indexmap::IndexMap;

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    /// The number of the run.
    pub run: Run,
    /// When the run ends if it is not stopped before.
    pub ends_at: Duration,
    /// The result that it reports then.
    pub end_kind: EndKind,
    /// The resources that it uses.
    pub size: Size,
}

/// One life of a simulated worker.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// The record that its heartbeats carry.
    pub record: WorkerRecord,
    /// Whether the worker process is running.
    pub up: bool,
    /// Whether it rejects a start that exceeds its free capacity; otherwise it
    /// starts every run.
    pub enforces_capacity: bool,
    /// Until when it is cut off from the network in both directions.
    pub unreachable_until: Duration,
    /// The speed of its clock, in percent of the real time.
    pub clock_percent: u32,
    /// The reading of its clock at the start, in milliseconds.
    pub clock_offset_ms: u64,
    /// The highest fencing token received so far.
    pub token: u64,
    /// The end of its lease, in milliseconds of its own clock.
    pub lease_deadline_ms: u64,
    /// The current runs.
    pub runs: IndexMap<TaskId, SimulatedRun>,
    /// The highest run of each task that ended or was stopped on this worker.
    pub closed_runs: IndexMap<TaskId, Run>,
    /// Ended runs that the owner has not acknowledged yet.
    pub ended: Vec<TaskEnd>,
    /// The number of runs that ended in this life.
    pub end_count: u64,
    /// The number of heartbeats sent.
    pub sequence: u64,
}

impl SimulatedWorker {
    /// Creates a worker without runs, whose clock runs at `clock_percent` of the real
    /// speed.
    pub fn new(record: WorkerRecord, clock_percent: u32, clock_offset_ms: u64) -> SimulatedWorker {
        SimulatedWorker {
            record,
            up: true,
            enforces_capacity: true,
            unreachable_until: Duration::ZERO,
            clock_percent,
            clock_offset_ms,
            token: 0,
            lease_deadline_ms: 0,
            runs: IndexMap::new(),
            closed_runs: IndexMap::new(),
            ended: Vec::new(),
            end_count: 0,
            sequence: 0,
        }
    }

    /// The reading of its clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now: Duration) -> u64 {
        let ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.clock_offset_ms + ms * u64::from(self.clock_percent) / 100
    }

    /// Whether calls reach this worker.
    #[must_use]
    pub fn reachable(&self, now: Duration) -> bool {
        self.up && now >= self.unreachable_until
    }

    /// Ends the runs that are due, and all runs once the lease has expired.
    pub fn advance(&mut self, now: Duration) {
        let lapsed = self.clock_ms(now) > self.lease_deadline_ms;
        let due: Vec<(TaskId, EndKind)> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(task, run)| {
                let kind = if run.ends_at <= now {
                    run.end_kind
                } else {
                    EndKind::Lapsed
                };
                (*task, kind)
            })
            .collect();
        for (task, kind) in due {
            self.end(task, kind);
        }
    }

    fn end(&mut self, task: TaskId, kind: EndKind) {
        let Some(run) = self.runs.swap_remove(&task) else {
            return;
        };
        self.close(task, run.run);
        self.end_count += 1;
        let end = End {
            task,
            run: run.run,
            kind,
            checkpoint: "".into(),
        };
        let number = self.end_count;
        self.ended.push(TaskEnd { number, end });
    }

    fn close(&mut self, task: TaskId, run: Run) {
        let closed = self.closed_runs.entry(task).or_insert(run);
        *closed = (*closed).max(run);
    }

    /// The resources used by its runs.
    #[must_use]
    pub fn used(&self) -> Size {
        self.runs
            .values()
            .fold(Size::default(), |sum, run| sum + run.size)
    }

    /// Executes an order. A start creates the run `planned`.
    pub fn execute_order(
        &mut self,
        now: Duration,
        token: u64,
        order: &TaskOrder,
        planned: &SimulatedRun,
    ) -> OrderAnswer {
        self.advance(now);
        if token < self.token {
            return OrderAnswer::Fenced;
        }
        self.token = token;
        let TaskOrder { task, run, order } = order;
        match order {
            Order::Start { deadline_ms, .. } => self.start(now, *task, *run, *deadline_ms, planned),
            Order::Stop => {
                let is_running = self.runs.get(task).is_some_and(|known| known.run == *run);
                if is_running {
                    self.end(*task, EndKind::Stopped);
                }
                self.close(*task, *run);
                OrderAnswer::Done
            }
            Order::Throttle(_) => OrderAnswer::Done,
        }
    }

    fn start(
        &mut self,
        now: Duration,
        task: TaskId,
        run: Run,
        deadline_ms: u64,
        planned: &SimulatedRun,
    ) -> OrderAnswer {
        if self.clock_ms(now) > deadline_ms {
            return OrderAnswer::Late;
        }
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms);
        if let Some(known) = self.runs.get(&task) {
            return if known.run == run {
                OrderAnswer::Done
            } else {
                OrderAnswer::Old
            };
        }
        if self
            .closed_runs
            .get(&task)
            .is_some_and(|closed| run <= *closed)
        {
            return OrderAnswer::Old;
        }
        let free_capacity = self.record.capacity.saturating_sub(self.used());
        if self.enforces_capacity && !planned.size.fits(free_capacity) {
            return OrderAnswer::NoRoom;
        }
        self.runs.insert(task, planned.clone());
        OrderAnswer::Done
    }

    /// Renews the lease; false if the owner is fenced. The caller decides when to
    /// answer with [`SimulatedWorker::report`].
    pub fn renew(&mut self, now: Duration, order: &RenewalOrder) -> bool {
        self.advance(now);
        if order.token < self.token {
            return false;
        }
        self.token = order.token;
        if let Some(deadline_ms) = order.deadline_ms {
            self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms);
        }
        self.ended.retain(|end| end.number > order.acked);
        true
    }

    /// Reports the current runs and the ended runs that are not acknowledged.
    pub fn report(&mut self, now: Duration) -> RenewalAnswer {
        self.advance(now);
        let running = |(task, run): (&TaskId, &SimulatedRun)| RunningTask {
            task: *task,
            run: run.run,
            checkpoint: "".into(),
            percent: 100,
            load: 0,
        };
        RenewalAnswer {
            clock_ms: self.clock_ms(now),
            running: self.runs.iter().map(running).collect(),
            ended: self.ended.clone(),
            more_ended: false,
            fenced: false,
        }
    }
}
