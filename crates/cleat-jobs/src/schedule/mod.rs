//! The owner's decisions: which task runs where, and when it is stopped.
//!
//! Pure: no clock, socket, thread or random source. `now` is a duration since
//! any fixed point of the owner's life, on a clock that also counts while the
//! machine is suspended.

mod account;
mod advice;
mod attempt;
mod beat;
mod crashes;
mod decision;
mod durations;
mod event;
mod fleet;
mod forecast;
mod isolation;
mod ledger;
mod loss;
mod orders;
mod pace;
mod place;
mod protections;
mod ready;
mod renewal;
mod shares;
mod step;
mod takeover;
mod tick;
mod timing;
mod worker;

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

pub use account::CustomerView;
pub use decision::Decision;
pub use durations::DurationModel;
pub use event::{
    Effect, EndedRun, Event, Heartbeat, MachineAnswer, Order, OrderAnswer, RenewalAnswer,
    RenewalOrder, RunningTask, TaskOrder,
};
pub use fleet::{MachineOrder, MachineState, MachineView};
pub use forecast::{Arrivals, JobUsage};
pub use protections::Protections;
pub use shares::SharePolicy;
pub use worker::WorkerState;

use crate::state::{Command, ControlState, Owner, WorkerRecord};
use crate::{JobId, Run, Size, StepId, TaskId};
use account::{Accounts, Stray};
use advice::StepAdvice;
use attempt::Attempt;
use crashes::CrashedMachines;
use fleet::Machines;
use pace::{Pace, Paced};
use ready::Unsettled;
use shares::Standing;
use step::ActiveStep;
use timing::{Objective, Times};
use worker::{WorkerKey, Workers};

/// What an owner believes of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerView<'a> {
    /// What the worker says of itself.
    pub record: &'a WorkerRecord,
    /// Whether it answers.
    pub state: WorkerState,
    /// How many runs it has.
    pub runs: usize,
    /// What they take up.
    pub used: Size,
}

/// The durations of the scheduler. All owners use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerConfig {
    /// How long a worker may go on without hearing from its owner.
    pub lease: Duration,
    /// How long a worker's answer to a renewal may wait for an end.
    pub renewal_wait: Duration,
    /// By how many percent a worker's clock may be slow.
    pub max_clock_drift_percent: u32,
    /// How long a job that is over is remembered.
    pub ended_job_retention: Duration,
    /// How much earlier than due an occurrence may start.
    pub max_early_start: Duration,
    /// How customers' shares decide which work goes first.
    pub share_policy: SharePolicy,
    /// Test-only switches.
    #[doc(hidden)]
    pub protections: Protections,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        SchedulerConfig {
            // Covers a change of owner: silence of the old one (0.6 s at
            // most), an election, and the first renewal of the new one; and
            // the 2 to 3 s in which all processes may be away at once.
            lease: Duration::from_millis(4_000),
            // Four renewals a lease.
            renewal_wait: Duration::from_millis(1_000),
            max_clock_drift_percent: 2,
            ended_job_retention: Duration::from_secs(240),
            max_early_start: Duration::ZERO,
            share_policy: SharePolicy::default(),
            protections: Protections::default(),
        }
    }
}

impl SchedulerConfig {
    /// When a lease is over for certain that was granted at time 0, also on a
    /// slow clock.
    pub(crate) fn lapse(&self) -> Duration {
        self.stretched(self.lease)
    }

    /// How long a duration of a worker's clock may take at most.
    pub(crate) fn stretched(&self, span: Duration) -> Duration {
        span * 100 / (100 - self.max_clock_drift_percent.min(99))
    }
}

/// The owner's view of the workers and of what runs on them.
#[derive(Debug)]
pub struct Scheduler {
    cfg: SchedulerConfig,
    owner: Owner,
    taken_over_at: Duration,
    now: Duration,
    /// The time of day, in milliseconds since the Unix epoch; 0 while unknown.
    wall_ms: u64,
    workers: Workers,
    /// The steps with tasks that are not done and wait for no other step.
    steps: IndexMap<StepId, ActiveStep>,
    /// The runs that this owner knows of: one a task at most.
    attempts: IndexMap<TaskId, Attempt>,
    /// The tasks of each job that have an attempt.
    job_tasks: IndexMap<JobId, IndexSet<TaskId>>,
    /// Runs that should not be there.
    strays: IndexMap<(WorkerKey, TaskId, Run), Stray>,
    accounts: Accounts,
    /// Whether an earlier owner's runs may still be unknown to this one.
    hidden_runs: bool,
    /// Jobs for which [`Command::JobsStopped`] is on its way.
    settling: IndexSet<JobId>,
    /// Jobs that are not over.
    live: IndexSet<JobId>,
    /// Jobs of which a worker said that a task has started. A start that is on
    /// its way or in doubt may never be carried out.
    ///
    /// Invariant: a subset of `live`.
    begun: IndexSet<JobId>,
    /// How many starts each task has had from this owner, by job.
    starts: IndexMap<JobId, IndexMap<TaskId, u32>>,
    /// Occurrences that are not due yet, with their time of day.
    timed: IndexMap<(JobId, u32), u64>,
    /// Jobs that are over, oldest first, with the time since which they are.
    over: VecDeque<(Duration, JobId)>,
    machines: Machines,
    crashed_machines: CrashedMachines,
    /// The steps with tasks under which workers have crashed, and some that are over.
    suspect_steps: IndexSet<StepId>,
    /// The workers of the pool being looked at that are emptied for tasks which have to
    /// start alone.
    emptied: IndexSet<WorkerKey>,
    /// Until when each job that is not over should be done.
    objectives: IndexMap<JobId, Objective>,
    /// Where the jobs of customers stand that are not over and beyond a share.
    standings: IndexMap<JobId, Standing>,
    times: Times,
    /// What the adviser said of each step that needs its permission.
    advice: IndexMap<StepId, StepAdvice>,
    /// How the filling tasks of each worker are paced.
    paces: IndexMap<WorkerKey, Pace>,
    paced: Paced,
    /// When the balances of the pools were logged last.
    balances_told: Duration,
    /// Where something may have made room or work.
    unsettled: Unsettled,
    /// The steps of each pool that may have tasks without a place.
    ready: IndexMap<Box<str>, IndexSet<StepId>>,
    effects: Vec<Effect>,
}

impl Scheduler {
    /// Begins the ownership that the state names. Nothing is sent yet.
    /// `wall_ms` is the time of day, in milliseconds since the Unix epoch.
    ///
    /// Returns nothing if the state names no owner.
    pub fn new(
        cfg: SchedulerConfig,
        state: &ControlState,
        now: Duration,
        wall_ms: u64,
    ) -> Option<Scheduler> {
        let owner = state.owner?;
        let mut scheduler = Scheduler {
            cfg,
            owner,
            taken_over_at: now,
            now,
            wall_ms,
            workers: Workers::default(),
            steps: IndexMap::new(),
            attempts: IndexMap::new(),
            job_tasks: IndexMap::new(),
            strays: IndexMap::new(),
            accounts: Accounts::default(),
            hidden_runs: true,
            settling: IndexSet::new(),
            live: IndexSet::new(),
            begun: IndexSet::new(),
            starts: IndexMap::new(),
            timed: IndexMap::new(),
            over: VecDeque::new(),
            machines: Machines::default(),
            crashed_machines: CrashedMachines::default(),
            suspect_steps: IndexSet::new(),
            emptied: IndexSet::new(),
            objectives: IndexMap::new(),
            standings: IndexMap::new(),
            times: Times::default(),
            advice: IndexMap::new(),
            paces: IndexMap::new(),
            paced: Paced::new(),
            balances_told: now,
            unsettled: Unsettled::All,
            ready: IndexMap::new(),
            effects: Vec::new(),
        };
        scheduler.inherit(state);
        Some(scheduler)
    }

    /// The ownership that this scheduler acts under.
    pub fn owner(&self) -> Owner {
        self.owner
    }

    /// Takes what happened and gives what has to be done. The state may be
    /// ahead of the events.
    pub fn handle(
        &mut self,
        state: &ControlState,
        events: impl IntoIterator<Item = Event>,
        now: Duration,
    ) -> Vec<Effect> {
        self.now = self.now.max(now);
        for event in events {
            self.take(state, event);
        }
        self.update_accounts(state);
        self.place(state);
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, state: &ControlState, event: Event) {
        match event {
            Event::Tick { wall_ms } => self.tick(state, wall_ms),
            Event::Applied { command } => self.applied(state, &command),
            Event::Heartbeat(beat) => self.beat(state, beat),
            Event::Left { worker } => self.left(&worker),
            Event::RenewalAnswered {
                worker,
                sent_at,
                acked,
                answer,
            } => self.renewal_answered(state, &worker, sent_at, acked, &answer),
            Event::RenewalFailed { worker, other_life } => self.renewal_failed(&worker, other_life),
            Event::Ordered {
                worker,
                order,
                answer,
            } => self.ordered(state, &worker, &order, answer),
            Event::MachinesListed { sent_at, machines } => self.machines_listed(sent_at, machines),
            Event::MachineOrdered {
                machine,
                order,
                answer,
            } => self.machine_ordered(&machine, &order, answer),
            Event::Advised {
                step,
                sent_at,
                asked,
                good,
            } => self.advised(state, step, sent_at, &asked, good),
            Event::ProposalFailed { command } => self.proposal_failed(&command),
        }
    }

    /// Notes that a worker said that a task of the job has started.
    fn note_begun(&mut self, id: JobId) {
        if self.live.contains(&id) {
            self.begun.insert(id);
        }
    }

    /// Whether a task of the job has started, as far as this owner knows.
    pub fn has_started(&self, id: JobId) -> bool {
        self.begun.contains(&id)
    }

    /// How many of a queue's jobs have no task that has started.
    pub fn waiting_jobs(&self, state: &ControlState, host: &str, prefix: &str) -> usize {
        let waits = |(id, job): &(&JobId, &crate::Job)| {
            *job.queue.host == *host
                && *job.queue.prefix == *prefix
                && !self.begun.contains(*id)
                && job.occurrences.is_empty()
        };
        state.jobs.iter().filter(waits).count()
    }

    /// How many tasks of a job run.
    pub fn running_tasks(&self, id: JobId) -> usize {
        let tasks = self.job_tasks.get(&id).into_iter().flatten();
        let attempts = tasks.filter_map(|task| self.attempts.get(task));
        attempts.filter(|attempt| attempt.holds_room()).count()
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView<'_>> {
        self.workers.iter().map(|(_, worker)| WorkerView {
            record: &worker.record,
            state: worker.state,
            runs: worker.tasks.len(),
            used: worker.used,
        })
    }

    fn applied(&mut self, state: &ControlState, command: &Command) {
        match command {
            Command::Submit { id, .. } => self.activate_job(state, *id),
            Command::Cancel { id } => self.job_over(state, *id),
            Command::RecordEnds { .. } => self.ends_applied(state, command),
            Command::AddWorker(record) => self.worker_recorded(&record.name),
            Command::RemoveWorkers { names } => self.workers_removed(names),
            Command::Draining { name } => self.drain(name),
            Command::Crashed { runs } => self.crashes_applied(state, runs),
            Command::JobsStopped { ids } => self.settling.retain(|id| !ids.contains(id)),
            Command::Configure(_)
            | Command::StartWave { .. }
            | Command::Maintained { .. }
            | Command::LeftWave { .. } => self.unsettled = Unsettled::All,
            Command::Bootstrapped
            | Command::Resized { .. }
            | Command::TakeOver { .. }
            | Command::WorkerSilent { .. }
            | Command::WorkerLapsed { .. }
            | Command::Forget { .. } => {}
        }
    }

    fn propose(&mut self, command: Command) {
        self.effects.push(Effect::Propose(command));
    }

    fn tell(&mut self, decision: Decision) {
        self.effects.push(Effect::Log(decision));
    }

    fn worker_name(&self, key: WorkerKey) -> Box<str> {
        self.workers[key].record.name.clone()
    }
}
