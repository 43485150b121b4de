//! A model of a worker: what it runs, under which lease, for which owner.

use std::time::Duration;

use cleat_jobs::{
    End, EndKind, Order, OrderAnswer, RenewalAnswer, RenewalOrder, Run, RunningTask, Size, TaskEnd,
    TaskId, TaskOrder, WorkerRecord,
};
use indexmap::IndexMap;

/// One run on a worker.
#[derive(Clone, Debug)]
pub struct ModelRun {
    /// Its number.
    pub run: Run,
    /// When it ends by itself.
    pub ends_at: Duration,
    /// How it ends then.
    pub kind: EndKind,
    /// What it takes up.
    pub size: Size,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct ModelWorker {
    /// What it says of itself.
    pub record: WorkerRecord,
    /// Whether it is there at all.
    pub up: bool,
    /// Whether it refuses what does not fit; else it starts whatever it is told to.
    pub guards: bool,
    /// Until when nothing reaches it or leaves it.
    pub cut_until: Duration,
    /// How fast its clock is, in percent.
    pub clock_percent: u32,
    /// What its clock showed at the beginning, in milliseconds.
    pub clock_offset_ms: u64,
    /// The highest fencing token seen.
    pub token: u64,
    /// The end of its lease, on its clock in milliseconds.
    pub deadline_ms: u64,
    /// What runs.
    pub runs: IndexMap<TaskId, ModelRun>,
    /// The highest run of each task that was stopped or ended here.
    pub closed: IndexMap<TaskId, Run>,
    /// Ends that were not acknowledged.
    pub ended: Vec<TaskEnd>,
    /// How many ends there were in this life.
    pub numbers: u64,
    /// How many heartbeats it sent.
    pub sequence: u64,
}

impl ModelWorker {
    /// A worker without runs, whose clock runs at `clock_percent`.
    pub fn new(record: WorkerRecord, clock_percent: u32, clock_offset_ms: u64) -> ModelWorker {
        ModelWorker {
            record,
            up: true,
            guards: true,
            cut_until: Duration::ZERO,
            clock_percent,
            clock_offset_ms,
            token: 0,
            deadline_ms: 0,
            runs: IndexMap::new(),
            closed: IndexMap::new(),
            ended: Vec::new(),
            numbers: 0,
            sequence: 0,
        }
    }

    /// What its clock shows.
    #[must_use]
    pub fn clock_ms(&self, now: Duration) -> u64 {
        let ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.clock_offset_ms + ms * u64::from(self.clock_percent) / 100
    }

    /// Whether calls reach it.
    #[must_use]
    pub fn reachable(&self, now: Duration) -> bool {
        self.up && now >= self.cut_until
    }

    /// Ends what is due, and everything once the lease is over.
    pub fn advance(&mut self, now: Duration) {
        let lapsed = self.clock_ms(now) > self.deadline_ms;
        let due: Vec<(TaskId, EndKind)> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(task, run)| {
                let kind = if run.ends_at <= now {
                    run.kind
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
        self.numbers += 1;
        let end = End {
            task,
            run: run.run,
            kind,
            checkpoint: "".into(),
        };
        let number = self.numbers;
        self.ended.push(TaskEnd { number, end });
    }

    fn close(&mut self, task: TaskId, run: Run) {
        let closed = self.closed.entry(task).or_insert(run);
        *closed = (*closed).max(run);
    }

    /// What its runs take up.
    #[must_use]
    pub fn used(&self) -> Size {
        self.runs
            .values()
            .fold(Size::default(), |sum, run| sum + run.size)
    }

    /// Carries an order out. A start tells how long and how it will run.
    pub fn order(
        &mut self,
        now: Duration,
        token: u64,
        order: &TaskOrder,
        planned: &ModelRun,
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
                let there = self.runs.get(task).is_some_and(|known| known.run == *run);
                if there {
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
        planned: &ModelRun,
    ) -> OrderAnswer {
        if self.clock_ms(now) > deadline_ms {
            return OrderAnswer::Late;
        }
        self.deadline_ms = self.deadline_ms.max(deadline_ms);
        if let Some(known) = self.runs.get(&task) {
            return if known.run == run {
                OrderAnswer::Done
            } else {
                OrderAnswer::Old
            };
        }
        if self.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return OrderAnswer::Old;
        }
        let room = self.record.capacity.saturating_sub(self.used());
        if self.guards && !planned.size.fits(room) {
            return OrderAnswer::NoRoom;
        }
        self.runs.insert(task, planned.clone());
        OrderAnswer::Done
    }

    /// Takes a renewal; the caller decides when it is answered.
    pub fn renew(&mut self, now: Duration, order: &RenewalOrder) -> bool {
        self.advance(now);
        if order.token < self.token {
            return false;
        }
        self.token = order.token;
        if let Some(deadline_ms) = order.deadline_ms {
            self.deadline_ms = self.deadline_ms.max(deadline_ms);
        }
        self.ended.retain(|end| end.number > order.acked);
        true
    }

    /// What runs and ended.
    pub fn list(&mut self, now: Duration) -> RenewalAnswer {
        self.advance(now);
        let running = |(task, run): (&TaskId, &ModelRun)| RunningTask {
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
