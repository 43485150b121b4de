//! A small stand-in for the platform: it carries out a placement's effects at
//! a bounded rate, runs tasks under leases, and reports their use with a lag.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use cleat_place::{
    Effect, End, Event, JobSpec, Limit, Placement, Priority, Size, TaskId, TeamId, Terms, WorkerId,
    WorkerSpec,
};
use indexmap::IndexMap;

/// How far time goes on in one step.
pub(crate) const STEP: Duration = Duration::from_millis(250);
const TICK_EVERY: Duration = Duration::from_millis(500);

/// What a job is really like.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Truth {
    pub(crate) used: Size,
    pub(crate) run: Duration,
    pub(crate) fails: bool,
    pub(crate) checkpointable: bool,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) truth: Truth,
    pub(crate) team: TeamId,
    urgent: bool,
    submitted_at: Duration,
    started: bool,
    pub(crate) saved: Duration,
    pub(crate) ends: u32,
    pub(crate) finished: bool,
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) spec: WorkerSpec,
    /// Fails everything.
    pub(crate) bad: bool,
    /// Cut off in both directions.
    pub(crate) cut: bool,
    /// When it was last reached again.
    pub(crate) healed_at: Duration,
    pub(crate) lease_until: Duration,
    pub(crate) reported_at: Duration,
    pub(crate) tasks: Vec<Task>,
    /// When it has to be empty.
    pub(crate) empty_by: Option<Duration>,
    /// What it could not tell while it was cut off.
    pub(crate) untold: Vec<Event>,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) id: TaskId,
    pub(crate) job: Box<str>,
    pub(crate) started_at: Duration,
    pub(crate) checkpoint_at: Option<Duration>,
}

/// What has come to pass.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    pub(crate) finished: usize,
    pub(crate) cancelled: usize,
    pub(crate) refused: Vec<Limit>,
    pub(crate) urgent_start_ms: Vec<u64>,
    pub(crate) out_of_memory: usize,
    pub(crate) throttles: usize,
    /// The compactions that were to gain no more than they cost.
    pub(crate) unpaid_moves: usize,
    pub(crate) lost_work: Duration,
    /// Broken promises, in words; empty in a good run.
    pub(crate) faults: Vec<String>,
    /// Sums over steps: real use, what is set aside, capacity, workers with a
    /// task, and the fewest workers that could hold what is set aside.
    pub(crate) used: [u64; 3],
    pub(crate) reserved: [u64; 3],
    pub(crate) capacity: [u64; 3],
    pub(crate) busy: u64,
    pub(crate) fewest: u64,
}

/// A placement with the world around it.
pub(crate) struct Platform {
    pub(crate) placement: Placement,
    pub(crate) now: Duration,
    pub(crate) tally: Tally,
    pub(crate) lease: Duration,
    pub(crate) quotas: IndexMap<TeamId, Option<Size>>,
    pub(crate) jobs: IndexMap<Box<str>, Job>,
    pub(crate) workers: IndexMap<Box<str>, Worker>,
    /// Calls in the order made, a start with the name of its job.
    pub(crate) calls: VecDeque<(Effect, Box<str>)>,
    /// Attempts that were started or ruled out.
    pub(crate) known: HashSet<TaskId>,
    asked: HashSet<TaskId>,
    ticked_at: Duration,
}

impl Platform {
    pub(crate) fn new(terms: Terms, seed: u64) -> Platform {
        Platform {
            placement: Placement::new(terms, seed),
            now: Duration::ZERO,
            tally: Tally::default(),
            lease: terms.lease,
            quotas: IndexMap::new(),
            jobs: IndexMap::new(),
            workers: IndexMap::new(),
            calls: VecDeque::new(),
            known: HashSet::new(),
            asked: HashSet::new(),
            ticked_at: Duration::ZERO,
        }
    }

    pub(crate) fn team(&mut self, name: &str, quota: Option<Size>) {
        let event = Event::TeamSet {
            name: name.into(),
            quota,
        };
        self.tell(event);
        if let Some(team) = self.placement.team(name) {
            self.quotas.insert(team, quota);
        }
    }

    pub(crate) fn worker(&mut self, spec: WorkerSpec, bad: bool) {
        let name = spec.name.clone();
        self.tell(Event::WorkerUp(spec.clone()));
        let Some(id) = self.placement.worker(&name) else {
            return;
        };
        let worker = Worker {
            id,
            spec,
            bad,
            cut: false,
            healed_at: Duration::ZERO,
            lease_until: self.now + self.lease,
            reported_at: self.now,
            tasks: Vec::new(),
            empty_by: None,
            untold: Vec::new(),
        };
        self.workers.insert(name, worker);
    }

    pub(crate) fn submit(&mut self, spec: JobSpec, truth: Truth) {
        let job = Job {
            truth,
            team: spec.team,
            urgent: spec.priority == Priority::Urgent,
            submitted_at: self.now,
            started: false,
            saved: Duration::ZERO,
            ends: 0,
            finished: false,
        };
        self.jobs.insert(spec.name.clone(), job);
        self.tell(Event::JobSubmitted(spec));
    }

    pub(crate) fn cancel(&mut self, prefix: &str) {
        let names = self.jobs.keys().filter(|name| name.starts_with(prefix));
        let ids: Vec<_> = names.filter_map(|name| self.placement.job(name)).collect();
        for id in ids {
            self.tell(Event::JobCancelled(id));
        }
    }

    pub(crate) fn set_cut(&mut self, prefix: &str, cut: bool) {
        let now = self.now;
        for worker in self.named(prefix) {
            if worker.cut && !cut {
                worker.healed_at = now;
            }
            worker.cut = cut;
        }
    }

    pub(crate) fn withdraw(&mut self, prefix: &str, within: Duration) {
        let empty_by = self.now + within;
        let ids = self.named(prefix).map(|worker| {
            worker.empty_by = Some(empty_by);
            worker.id
        });
        for worker in ids.collect::<Vec<_>>() {
            self.tell(Event::WorkerWithdrawn { worker, empty_by });
        }
    }

    /// Restarts workers: what ran on them is gone.
    pub(crate) fn restart(&mut self, prefix: &str) {
        let lease_until = self.now + self.lease;
        let restarted = self.named(prefix).map(|worker| {
            worker.spec.incarnation += 1;
            worker.tasks.clear();
            worker.untold.clear();
            worker.lease_until = lease_until;
            worker.spec.clone()
        });
        for spec in restarted.collect::<Vec<_>>() {
            let name = spec.name.clone();
            self.tell(Event::WorkerUp(spec));
            self.know_again(&name);
        }
    }

    /// A worker that was withdrawn and gone comes back as another one.
    fn know_again(&mut self, name: &str) {
        let id = self.placement.worker(name);
        if let (Some(id), Some(worker)) = (id, self.workers.get_mut(name))
            && worker.id != id
        {
            worker.id = id;
            worker.empty_by = None;
        }
    }

    fn named(&mut self, prefix: &str) -> impl Iterator<Item = &mut Worker> {
        let workers = self.workers.iter_mut();
        let named = workers.filter(move |(name, _)| name.starts_with(prefix));
        named.map(|(_, worker)| worker)
    }

    /// Lets time go on until `until`.
    pub(crate) fn run_until(&mut self, until: Duration) {
        while self.now + STEP <= until {
            self.now += STEP;
            self.end_tasks();
            self.report();
            if self.now >= self.ticked_at + TICK_EVERY {
                self.ticked_at = self.now;
                self.tell(Event::Tick);
            }
            self.carry_out();
            self.measure();
            self.check();
        }
    }

    /// Tells the placement, and keeps what it wants done.
    pub(crate) fn tell(&mut self, event: Event) {
        for effect in self.placement.step(event, self.now) {
            self.note(&effect);
            let name = match &effect {
                Effect::Start { task, .. } => self.placement.job_name(task.job),
                _ => None,
            };
            let name = name.unwrap_or_default().into();
            self.calls.push_back((effect, name));
        }
    }

    fn note(&mut self, effect: &Effect) {
        match effect {
            Effect::Closed { name, end, .. } => {
                self.note_end(name);
                if let Some(job) = self.jobs.get_mut(name) {
                    job.finished = *end == End::Finished;
                }
                match end {
                    End::Finished => self.tally.finished += 1,
                    End::Cancelled => self.tally.cancelled += 1,
                }
            }
            Effect::Refuse { name, limit, .. } => {
                self.note_end(name);
                self.tally.refused.push(*limit);
            }
            Effect::Start { task, worker, .. } if self.asked.insert(*task) => {
                self.check_start(*task, *worker);
            }
            Effect::Throttle { .. } => self.tally.throttles += 1,
            Effect::Checkpoint {
                cause: cleat_place::Cause::Compaction { gain, cost },
                ..
            } if gain <= cost => self.tally.unpaid_moves += 1,
            _ => {}
        }
    }

    fn note_end(&mut self, name: &str) {
        if let Some(job) = self.jobs.get_mut(name) {
            job.ends += 1;
        }
    }

    pub(crate) fn note_running(&mut self, name: &str) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        if job.urgent && !job.started {
            let wait = now.saturating_sub(job.submitted_at).as_millis();
            let wait = u64::try_from(wait).unwrap_or(u64::MAX);
            self.tally.urgent_start_ms.push(wait);
        }
        job.started = true;
    }

    pub(crate) fn fault(&mut self, text: &str) {
        if !self.tally.faults.iter().any(|fault| fault == text) {
            self.tally.faults.push(text.into());
        }
    }
}
