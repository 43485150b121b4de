//! The state and its one entry, [`Placement::step`].

mod blame;
mod claims;
mod compact;
mod drain;
mod jobs;
mod normal;
mod tasks;
mod tick;
mod urgent;
mod usage;
mod workers;

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::effect::Effect;
use crate::estimate::Class;
use crate::event::Event;
use crate::job::{Job, JobView, State};
use crate::keys::{ClassId, JobId, TaskId, TeamId, WorkerId};
use crate::size::Size;
use crate::slab::Slab;
use crate::stats::{Footprint, Stats};
use crate::team::Team;
use crate::terms::Terms;
use crate::timers::Timers;
use crate::worker::{Worker, WorkerView};

/// How many waiting urgent jobs are looked at when a place comes free.
const URGENT_PER_FREED: usize = 2;

/// Where jobs run, and what is known for deciding it.
#[derive(Debug)]
pub struct Placement {
    terms: Terms,
    rng: StdRng,
    workers: Slab<WorkerId, Worker>,
    worker_names: IndexMap<Box<str>, WorkerId>,
    jobs: Slab<JobId, Job>,
    job_names: IndexMap<Box<str>, JobId>,
    teams: IndexMap<Box<str>, Team>,
    classes: Vec<Class>,
    /// Urgent jobs that wait without a claim; may hold jobs that no longer do.
    urgent: VecDeque<JobId>,
    /// Exactly the jobs with a claim, in the order in which they got it.
    claims: Vec<JobId>,
    /// Tasks whose stop is due, in their turn; may hold tasks that are gone.
    stops: VecDeque<TaskId>,
    timers: Timers,
    /// What the workers have that are not withdrawn.
    total: Size,
    /// Whether jobs that fitted may no longer do, since a worker was withdrawn.
    refit: bool,
    /// Whether a place came free since claims were last looked at.
    freed: bool,
    stats: Stats,
}

/// One step: its time and what it wants done.
struct Step {
    now: Duration,
    effects: Vec<Effect>,
}

impl Placement {
    /// A placement without workers, teams and jobs. `seed` spreads backoffs.
    pub fn new(terms: Terms, seed: u64) -> Placement {
        Placement {
            terms,
            rng: StdRng::seed_from_u64(seed),
            workers: Slab::new(),
            worker_names: IndexMap::new(),
            jobs: Slab::new(),
            job_names: IndexMap::new(),
            teams: IndexMap::new(),
            classes: Vec::new(),
            urgent: VecDeque::new(),
            claims: Vec::new(),
            stops: VecDeque::new(),
            timers: Timers::default(),
            total: Size::default(),
            refit: false,
            freed: false,
            stats: Stats::default(),
        }
    }

    /// Takes one event into account and decides what to do. `now` never goes
    /// back.
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut step = Step {
            now,
            effects: Vec::new(),
        };
        self.take(event, &mut step);
        if self.freed {
            self.freed = false;
            self.serve_claims(&mut step);
            self.serve_urgent(URGENT_PER_FREED, &mut step);
        }
        step.effects
    }

    fn take(&mut self, event: Event, step: &mut Step) {
        match event {
            Event::TeamSet { name, quota } => self.set_team(name, quota),
            Event::WorkerUp(spec) => self.worker_up(spec, step),
            Event::WorkerDown(worker) => self.worker_down(worker),
            Event::WorkerCordoned { worker, empty_by } => self.cordon(worker, empty_by),
            Event::WorkerUncordoned(worker) => self.uncordon(worker),
            Event::WorkerWithdrawn { worker, empty_by } => self.withdraw(worker, empty_by),
            Event::JobSubmitted(spec) => self.submit(spec, step),
            Event::JobCancelled(job) => self.cancel(job, step),
            Event::TaskStarted(task) => self.task_started(task, step),
            Event::TaskFinished(task) => self.task_finished(task, step),
            Event::TaskFailed(task) => self.task_failed(task, step),
            Event::TaskCheckpointed(task) => self.task_checkpointed(task, step),
            Event::TaskStopped(task) => self.task_stopped(task, step),
            Event::Reported(report) => self.reported(&report, step),
            Event::Tick => self.tick(step),
        }
    }

    /// The team called `name`.
    pub fn team(&self, name: &str) -> Option<TeamId> {
        let index = self.teams.get_index_of(name)?;
        u32::try_from(index).ok().map(TeamId)
    }

    /// The worker called `name`.
    pub fn worker(&self, name: &str) -> Option<WorkerId> {
        self.worker_names.get(name).copied()
    }

    /// The job called `name`, unless it is over or was refused.
    pub fn job(&self, name: &str) -> Option<JobId> {
        self.job_names.get(name).copied()
    }

    /// The name of a job that is not over.
    pub fn job_name(&self, job: JobId) -> Option<&str> {
        self.jobs.get(job).map(|job| job.name.as_ref())
    }

    /// What is to be seen of a worker.
    pub fn worker_view(&self, worker: WorkerId) -> Option<WorkerView> {
        self.workers.get(worker).map(Worker::view)
    }

    /// What is to be seen of a job that is not over.
    pub fn job_view(&self, id: JobId) -> Option<JobView> {
        let job = self.jobs.get(id)?;
        Some(match &job.state {
            State::Waiting(reason) => JobView::Waiting(*reason),
            State::Placed(task) => JobView::Placed {
                task: job.task_id(id),
                worker: task.worker,
                size: task.size,
            },
        })
    }

    /// Every job that is not over.
    pub fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.jobs.iter().map(|(id, _)| id)
    }

    /// Every worker.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> {
        self.workers.iter().map(|(id, _)| id)
    }

    /// What a team's tasks hold, corrected by use.
    pub fn team_use(&self, team: TeamId) -> Size {
        self.team_of(team).map_or(Size::default(), |t| t.used)
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// How large the state is.
    pub fn footprint(&self) -> Footprint {
        let entry = size_of::<(Box<str>, JobId, usize)>();
        let workers: usize = self.workers.iter().map(|(_, w)| w.bytes()).sum();
        let worker_names: usize = self.worker_names.keys().map(|n| n.len() + entry).sum();
        let jobs: usize = self.jobs.iter().map(|(_, j)| j.bytes()).sum();
        let job_names: usize = self.job_names.keys().map(|n| n.len() + entry).sum();
        let teams: usize = self.teams.values().map(Team::bytes).sum();
        let classes: usize = self.classes.iter().map(Class::bytes).sum();
        Footprint {
            workers: workers + worker_names,
            jobs: jobs + job_names + self.timers.bytes(),
            teams: teams + classes,
        }
    }

    fn set_team(&mut self, name: Box<str>, quota: Option<Size>) {
        self.teams.entry(name).or_default().quota = quota;
        self.refit = true;
    }

    fn team_of(&self, team: TeamId) -> Option<&Team> {
        self.teams.get_index(team.0 as usize).map(|(_, t)| t)
    }

    fn team_of_mut(&mut self, team: TeamId) -> Option<&mut Team> {
        self.teams.get_index_mut(team.0 as usize).map(|(_, t)| t)
    }

    fn class(&self, class: ClassId) -> Option<&Class> {
        self.classes.get(class.0 as usize)
    }

    fn class_mut(&mut self, class: ClassId) -> Option<&mut Class> {
        self.classes.get_mut(class.0 as usize)
    }

    /// Since when a worker must have been heard to get work.
    fn heard_since(&self, now: Duration) -> Duration {
        now.saturating_sub(self.terms.suspect_after)
    }
}
