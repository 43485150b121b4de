//! How the stand-in carries out calls, and how tasks run and end.

use std::time::Duration;

use cleat_place::{Effect, Event, Report, TaskId, TaskUsage, WorkerId};

use crate::platform::{Platform, Task, Truth, Worker};

/// How many calls are carried out in one step: 200 a second.
const CALLS_PER_STEP: usize = 50;
const REPORT_EVERY: Duration = Duration::from_secs(1);
const REPORT_LAG: Duration = Duration::from_secs(3);
const CHECKPOINT_TAKES: Duration = Duration::from_millis(1500);
/// How soon a task fails that fails.
const FAILS_AFTER: Duration = Duration::from_secs(1);

impl Platform {
    pub(crate) fn carry_out(&mut self) {
        let mut left = CALLS_PER_STEP;
        while left > 0 {
            let Some((effect, job)) = self.calls.pop_front() else {
                return;
            };
            left -= usize::from(self.carry_one(&effect, &job));
        }
    }

    /// Whether the effect was a call to the platform.
    fn carry_one(&mut self, effect: &Effect, job: &str) -> bool {
        match effect {
            Effect::Start {
                task,
                worker,
                incarnation,
                ..
            } => self.start(*task, *worker, *incarnation, job),
            Effect::Checkpoint { task, .. } => self.checkpoint(*task),
            Effect::Stop { task, .. } => self.stop(*task),
            Effect::Throttle { .. } => {}
            Effect::Renew { .. } | Effect::Refuse { .. } | Effect::Closed { .. } => return false,
        }
        true
    }

    fn start(&mut self, id: TaskId, worker: WorkerId, incarnation: u64, job: &str) {
        let now = self.now;
        let found = self.workers.values_mut().find(|other| other.id == worker);
        let Some(worker) = found else {
            return;
        };
        let reachable = !worker.cut && worker.spec.incarnation == incarnation;
        if !reachable || now > worker.lease_until {
            return;
        }
        if !self.known.insert(id) {
            return;
        }
        worker.tasks.push(Task {
            id,
            job: job.into(),
            started_at: now,
            checkpoint_at: None,
        });
        self.note_running(job);
        self.tell(Event::TaskStarted(id));
    }

    fn checkpoint(&mut self, id: TaskId) {
        let at = self.now + CHECKPOINT_TAKES;
        let Some(worker) = self.holder(id) else {
            return self.rule_out(id);
        };
        let tasks = worker.tasks.iter_mut().filter(|_| !worker.cut);
        for task in tasks.filter(|task| task.id == id) {
            task.checkpoint_at.get_or_insert(at);
        }
    }

    fn stop(&mut self, id: TaskId) {
        let now = self.now;
        let Some(worker) = self.holder(id) else {
            return self.rule_out(id);
        };
        if worker.cut {
            return;
        }
        let Some(at) = worker.tasks.iter().position(|task| task.id == id) else {
            return;
        };
        let task = worker.tasks.swap_remove(at);
        self.tally.lost_work += now.saturating_sub(task.started_at);
        self.tell(Event::TaskStopped(id));
    }

    /// The task runs nowhere, and never will.
    fn rule_out(&mut self, id: TaskId) {
        self.known.insert(id);
        self.tell(Event::TaskStopped(id));
    }

    fn holder(&mut self, id: TaskId) -> Option<&mut Worker> {
        let holds = |worker: &&mut Worker| worker.tasks.iter().any(|task| task.id == id);
        self.workers.values_mut().find(holds)
    }

    pub(crate) fn end_tasks(&mut self) {
        for index in 0..self.workers.len() {
            let ended = self.ended_on(index);
            let Some((_, worker)) = self.workers.get_index_mut(index) else {
                continue;
            };
            worker.tasks.retain(|task| {
                let over = |event: &Event| task_of(event) == Some(task.id);
                !ended.iter().any(over)
            });
            worker.untold.extend(ended);
            if worker.cut {
                continue;
            }
            for event in std::mem::take(&mut worker.untold) {
                self.tell(event);
            }
        }
    }

    /// How tasks on one worker ended just now.
    fn ended_on(&mut self, index: usize) -> Vec<Event> {
        let now = self.now;
        let Some((_, worker)) = self.workers.get_index(index) else {
            return Vec::new();
        };
        if now > worker.lease_until {
            let killed = worker.tasks.iter().map(|task| Event::TaskStopped(task.id));
            return killed.collect();
        }
        let mut ended = Vec::new();
        let mut saved = Vec::new();
        for task in &worker.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let ran = now.saturating_sub(task.started_at);
            let done = job.saved + ran >= job.truth.run;
            if (worker.bad || job.truth.fails) && ran >= FAILS_AFTER {
                ended.push(Event::TaskFailed(task.id));
            } else if done {
                ended.push(Event::TaskFinished(task.id));
            } else if job.truth.checkpointable && task.checkpoint_at.is_some_and(|at| now >= at) {
                ended.push(Event::TaskCheckpointed(task.id));
                saved.push((task.job.clone(), ran));
            }
        }
        let over = self.over_memory(worker);
        if ended.is_empty()
            && let Some(id) = over
        {
            self.tally.out_of_memory += 1;
            ended.push(Event::TaskFailed(id));
        }
        for (name, ran) in saved {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.saved += ran;
            }
        }
        ended
    }

    /// The largest task of a worker whose tasks use more memory than it has.
    fn over_memory(&self, worker: &Worker) -> Option<TaskId> {
        let memory = |task: &Task| self.truth(&task.job).map_or(0, |t| t.used.memory);
        let sum: u64 = worker.tasks.iter().map(|t| u64::from(memory(t))).sum();
        if sum <= u64::from(worker.spec.capacity.memory) {
            return None;
        }
        let largest = worker.tasks.iter().max_by_key(|task| memory(task));
        largest.map(|task| task.id)
    }

    pub(crate) fn truth(&self, job: &str) -> Option<Truth> {
        self.jobs.get(job).map(|job| job.truth)
    }

    pub(crate) fn report(&mut self) {
        for index in 0..self.workers.len() {
            let Some(report) = self.report_of(index) else {
                continue;
            };
            let (now, lease) = (self.now, self.lease);
            if let Some((_, worker)) = self.workers.get_index_mut(index) {
                worker.reported_at = now;
                worker.lease_until = now + lease;
            }
            self.tell(Event::Reported(report));
        }
    }

    fn report_of(&self, index: usize) -> Option<Report> {
        let (_, worker) = self.workers.get_index(index)?;
        if worker.cut || self.now < worker.reported_at + REPORT_EVERY {
            return None;
        }
        let measured_at = self.now.saturating_sub(REPORT_LAG);
        let old = worker.tasks.iter().filter(|t| t.started_at <= measured_at);
        let usage = old.filter_map(|task| {
            let used = self.truth(&task.job)?.used;
            Some(TaskUsage {
                task: task.id,
                used,
            })
        });
        Some(Report {
            worker: worker.id,
            incarnation: worker.spec.incarnation,
            measured_at,
            usage: usage.collect(),
        })
    }
}

fn task_of(event: &Event) -> Option<TaskId> {
    match event {
        Event::TaskFailed(id)
        | Event::TaskFinished(id)
        | Event::TaskStopped(id)
        | Event::TaskCheckpointed(id) => Some(*id),
        _ => None,
    }
}
