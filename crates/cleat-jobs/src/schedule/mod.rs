//! The scheduler of the owner: decides which task runs on which worker, and
//! when a run is stopped.
//!
//! It is a pure state machine without clock, socket, thread or random source.
//! `now` is the time since an arbitrary fixed point, on a clock that also
//! advances while the machine is suspended.

mod account;
mod admission;
mod advice;
mod attempt;
mod awaited_ends;
mod carry_over;
mod choice;
mod commits;
mod common_failure;
mod crashes;
mod decision;
mod departure;
mod durations;
mod event;
mod features;
mod fleet;
mod forecast;
mod heartbeat;
mod held_ends;
mod isolation;
mod listed_runs;
mod log_names;
mod loss;
mod orders;
mod parked;
mod pass;
mod placement;
mod pool_names;
mod protections;
mod ready;
mod renewal;
mod restart;
mod shares;
mod sharing;
mod speculation;
mod speed;
mod stall;
mod start;
mod start_window;
mod step;
mod takeover;
mod throttle;
mod tick;
mod timing;
mod vanished;
mod waiting;
mod withholding;
mod worker;

use std::collections::VecDeque;
use std::time::Duration;

pub use account::CustomerView;
pub use admission::{Admission, RefusalReason, Submission};
pub use carry_over::LearnedFault;
pub use decision::{Decision, HoldReason, WaitReason};
pub use durations::DurationModel;
pub use event::{
    Effect, EndedRun, Event, Heartbeat, MachineAnswer, Order, OrderAnswer, RenewalAnswer,
    RenewalOrder, RunningTask, TaskOrder,
};
pub use features::Features;
pub use fleet::{MachineOrder, MachineState, MachineView};
pub use forecast::{Arrivals, JobUsage};
pub use protections::Protections;
pub use shares::SharePolicy;
pub use worker::WorkerState;

use crate::collections::{IndexMap, IndexSet};
use crate::state::{Command, ControlState, End, Owner, WorkerRecord};
use crate::{JobId, Run, Size, StepId, TaskId};
use account::{Accounts, Stray};
use admission::AdmissionState;
use advice::StepAdvice;
use attempt::Attempt;
use awaited_ends::AwaitedEnds;
use carry_over::CarryOver;
use common_failure::RecentFailures;
use crashes::CrashedMachines;
use fleet::{FleetSizes, Machines};
use isolation::IsolationPlan;
use pool_names::PoolNames;
use ready::{DirtyPools, ReadySteps};
use shares::ShareStatus;
use speculation::SupersededRuns;
use speed::SpeedStats;
use start_window::StartWindow;
use step::ActiveStep;
use throttle::{Throttle, ThrottleTimes};
use timing::{Objective, WorkloadStats};
use worker::{WorkerKey, Workers};

/// A worker as the owner sees it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerView<'a> {
    /// What the worker reported about itself.
    pub record: &'a WorkerRecord,
    /// Whether the worker answers renewals.
    pub state: WorkerState,
    /// The number of its runs, including those whose end is being committed.
    pub runs: usize,
    /// The resources that its runs use, without those whose end is being
    /// committed.
    pub used: Size,
    /// Whether its runs take notably longer than those on other workers.
    pub slow: bool,
}

/// Settings of the scheduler. All owners of a cluster have to use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerConfig {
    /// How long a worker keeps its runs without a renewal from its owner.
    pub lease: Duration,
    /// The longest lease that a worker accepts; it shortens a longer one.
    pub max_accepted_lease: Duration,
    /// How long a worker may delay its answer to a renewal until a run ends.
    pub renewal_wait: Duration,
    /// By how many percent a worker's clock may run slower than the owner's.
    pub max_clock_drift_percent: u32,
    /// How long the state of a finished job is retained.
    pub ended_job_retention: Duration,
    /// How long before its due time an occurrence of a repeated job may start.
    pub max_early_start: Duration,
    /// How customers' shares affect the order of work.
    pub share_policy: SharePolicy,
    /// The optional decisions that the settings enable.
    pub features: Features,
    /// Test-only switches.
    #[doc(hidden)]
    pub protections: Protections,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        SchedulerConfig {
            // Has to outlast a change of owner: up to 0.6 s until the old owner
            // counts as silent, an election, and the first renewal of the new
            // owner. It also covers the 2 to 3 s in which all processes may be
            // unavailable at once.
            lease: Duration::from_millis(4_000),
            max_accepted_lease: Duration::from_secs(10),
            // A quarter of the lease: four renewals fit into one lease.
            renewal_wait: Duration::from_millis(1_000),
            max_clock_drift_percent: 2,
            ended_job_retention: Duration::from_secs(240),
            max_early_start: Duration::ZERO,
            share_policy: SharePolicy::default(),
            features: Features::default(),
            protections: Protections::default(),
        }
    }
}

impl SchedulerConfig {
    /// The time, on the owner's clock, at which a lease granted at time 0 has
    /// certainly expired, even if the worker's clock is slow.
    pub(crate) fn max_lease_duration(&self) -> Duration {
        self.max_real_duration(self.lease)
    }

    /// The longest time on the owner's clock that `span` on a worker's clock
    /// can correspond to.
    pub(crate) fn max_real_duration(&self, span: Duration) -> Duration {
        span * 100 / (100 - self.max_clock_drift_percent.min(99))
    }
}

/// The owner's view of the workers and their runs.
#[derive(Debug)]
pub struct Scheduler {
    cfg: SchedulerConfig,
    owner: Owner,
    taken_over_at: Duration,
    now: Duration,
    /// When this owner last came to the end of a stall.
    stalled_until: Option<Duration>,
    /// The time of day, in milliseconds since the Unix epoch; 0 while unknown.
    wall_ms: u64,
    workers: Workers,
    /// The unfinished steps that wait for no other step, in the order in which they
    /// became active. They are boxed, since the removal of one moves those behind it.
    steps: IndexMap<StepId, Box<ActiveStep>>,
    pool_names: PoolNames,
    /// The steps of each job that have an entry in `steps`.
    job_steps: IndexMap<JobId, Vec<StepId>>,
    /// The runs that this owner knows of, at most one for each task.
    attempts: IndexMap<TaskId, Attempt>,
    /// The tasks of each job that have an entry in `attempts`.
    job_tasks: IndexMap<JobId, IndexSet<TaskId>>,
    /// The ends that are listed, not applied yet, and may complete or fail their
    /// task.
    ///
    /// Invariant: such a task starts only after they are applied. Until then it
    /// may have no entry in `attempts` and not be pending either.
    awaited_ends: AwaitedEnds,
    /// Ends that will not be recorded any more, whose tasks are released after all events.
    abandoned_ends: Vec<End>,
    /// Runs that a worker lists although this owner does not expect them there:
    /// their job has ended, or another run took their place.
    strays: IndexMap<(WorkerKey, TaskId, Run), Stray>,
    /// The earlier runs of tasks that were copied.
    superseded: SupersededRuns,
    /// Whether a tick has passed since tasks were last examined for copies.
    copies_due: bool,
    accounts: Accounts,
    /// Whether some worker may still have runs of an earlier owner that it has
    /// not listed to this owner.
    may_have_hidden_runs: bool,
    /// Ended jobs of which runs may be left, according to the replicated state, and for
    /// which [`Command::JobsStopped`] is not proposed yet.
    jobs_to_settle: IndexSet<JobId>,
    /// Jobs that have not ended.
    active_jobs: IndexSet<JobId>,
    /// Jobs of which a worker has confirmed that a task started. A start
    /// without an answer does not count, since it may never be executed.
    ///
    /// Invariant: a subset of `active_jobs`.
    started_jobs: IndexSet<JobId>,
    /// How often this owner has started each task, by job.
    start_counts: IndexMap<JobId, IndexMap<TaskId, u32>>,
    /// Occurrences of repeated jobs that are not due yet, with the time of day
    /// at which they are due, in milliseconds since the Unix epoch.
    future_occurrences: IndexMap<(JobId, u32), u64>,
    /// Ended jobs, oldest first, with the time at which this owner learned of
    /// their end.
    ended_jobs: VecDeque<(Duration, JobId)>,
    machines: Machines,
    /// The sizes of all machines, as of the last tick.
    fleet_sizes: FleetSizes,
    /// Whether machines or workers were added or resized since then.
    fleet_changed: bool,
    /// Whether the machines were listed since then.
    fleet_listed: bool,
    /// Whether a worker was removed since then. Its capacity counts until the next list,
    /// which shows whether its machine is still there.
    fleet_shrunk: bool,
    /// The workers that reported that their life ends now, until it is known to be over.
    departing: IndexSet<WorkerKey>,
    crashed_machines: CrashedMachines,
    recent_failures: RecentFailures,
    /// Steps with tasks that ran on workers when these crashed. May still
    /// contain steps that have ended.
    suspect_steps: IndexSet<StepId>,
    /// How suspect tasks of the pool that is being scheduled are isolated.
    isolation: IsolationPlan,
    /// The objective of each job that has not ended.
    objectives: IndexMap<JobId, Objective>,
    /// The share status of each active job that exceeds its customer's share.
    share_statuses: IndexMap<JobId, ShareStatus>,
    workload: WorkloadStats,
    speeds: SpeedStats,
    carry_over: CarryOver,
    /// The adviser's permissions for each step that needs them.
    advice: IndexMap<StepId, StepAdvice>,
    /// The current throttle of the best-effort tasks on each worker.
    throttles: IndexMap<WorkerKey, Throttle>,
    throttle_sent_at: ThrottleTimes,
    /// When the supply and demand of the pools were last logged.
    balances_logged_at: Duration,
    /// The pools in which capacity or work may have changed since their last
    /// scheduling pass.
    dirty_pools: DirtyPools,
    /// How often a worker may have come to offer more once all runs that end by themselves
    /// have ended: it was resized, or a run ended that does not end by itself.
    capacity_gains: u64,
    /// Whether a tick has passed since steps were last examined for which no capacity is
    /// withheld any more.
    sharing_due: bool,
    /// What the decisions on submitted jobs are based on.
    admission: AdmissionState,
    /// The steps of each pool that may have tasks waiting for a worker.
    ready: IndexMap<Box<str>, ReadySteps>,
    /// The limit of starts that have no answer yet.
    start_window: StartWindow,
    effects: Vec<Effect>,
}

impl Scheduler {
    /// Creates the scheduler for the ownership that the state names. Nothing is
    /// sent yet; the first effects are returned by [`Scheduler::handle`].
    /// `wall_ms` is the time of day, in milliseconds since the Unix epoch.
    ///
    /// Returns `None` if the state names no owner.
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
            stalled_until: None,
            wall_ms,
            workers: Workers::default(),
            steps: IndexMap::default(),
            pool_names: PoolNames::default(),
            job_steps: IndexMap::default(),
            attempts: IndexMap::default(),
            job_tasks: IndexMap::default(),
            awaited_ends: AwaitedEnds::default(),
            abandoned_ends: Vec::new(),
            strays: IndexMap::default(),
            superseded: SupersededRuns::default(),
            copies_due: false,
            accounts: Accounts::default(),
            may_have_hidden_runs: true,
            jobs_to_settle: IndexSet::default(),
            active_jobs: IndexSet::default(),
            started_jobs: IndexSet::default(),
            start_counts: IndexMap::default(),
            future_occurrences: IndexMap::default(),
            ended_jobs: VecDeque::new(),
            machines: Machines::default(),
            fleet_sizes: FleetSizes::default(),
            fleet_changed: true,
            fleet_listed: false,
            fleet_shrunk: false,
            departing: IndexSet::default(),
            crashed_machines: CrashedMachines::default(),
            recent_failures: RecentFailures::default(),
            suspect_steps: IndexSet::default(),
            isolation: IsolationPlan::default(),
            objectives: IndexMap::default(),
            share_statuses: IndexMap::default(),
            workload: WorkloadStats::default(),
            speeds: SpeedStats::default(),
            carry_over: CarryOver::new(now),
            advice: IndexMap::default(),
            throttles: IndexMap::default(),
            throttle_sent_at: ThrottleTimes::default(),
            balances_logged_at: now,
            dirty_pools: DirtyPools::All,
            capacity_gains: 0,
            sharing_due: false,
            admission: AdmissionState::default(),
            ready: IndexMap::default(),
            start_window: StartWindow::new(),
            effects: Vec::new(),
        };
        scheduler.take_over_state(state);
        Some(scheduler)
    }

    /// The ownership under which this scheduler gives orders.
    pub fn owner(&self) -> Owner {
        self.owner
    }

    /// Processes events and returns the effects to execute. The state may
    /// already contain commands whose [`Event::Applied`] comes later.
    ///
    /// With a tick among the events, leases may expire. That is examined after all
    /// events, since an answer among them may prevent it.
    pub fn handle(
        &mut self,
        state: &ControlState,
        events: impl IntoIterator<Item = Event>,
        now: Duration,
    ) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut ticked = false;
        let events = events.into_iter();
        // Most events have about one effect.
        self.effects.reserve(events.size_hint().0);
        for event in events {
            ticked |= matches!(event, Event::Tick { .. });
            self.handle_event(state, event);
        }
        if ticked {
            self.watch_workers(state);
        }
        self.advance_departures();
        self.settle_abandoned_ends(state);
        self.update_accounts(state);
        self.place_ready_steps(state);
        self.start_copies(state);
        std::mem::take(&mut self.effects)
    }

    fn handle_event(&mut self, state: &ControlState, event: Event) {
        match event {
            Event::Tick { wall_ms } => self.tick(state, wall_ms),
            Event::Applied { command } => self.handle_applied(state, &command),
            Event::Heartbeat(heartbeat) => self.handle_heartbeat(state, heartbeat),
            Event::Left { worker } => self.handle_worker_left(&worker),
            Event::RenewalAnswered {
                worker,
                sent_at,
                acked,
                answer,
            } => self.handle_renewal_answer(state, &worker, sent_at, acked, &answer),
            Event::RenewalFailed { worker, other_life } => self.renewal_failed(&worker, other_life),
            Event::WorkerRestarted { worker, life } => self.handle_restart(&worker, &life),
            Event::RenewalNotSent { worker } => self.renewal_not_sent(&worker),
            Event::Stalled => self.record_stall(),
            Event::Ordered {
                worker,
                order,
                answer,
            } => self.handle_order_answer(state, &worker, &order, answer),
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
                permitted,
            } => self.handle_advice(state, step, sent_at, &asked, permitted),
            Event::ProposalFailed { command } => self.handle_proposal_failed(&command),
        }
    }

    /// Records that a worker has confirmed the start of a task of the job.
    fn record_job_started(&mut self, id: JobId) {
        if !self.started_jobs.contains(&id) && self.active_jobs.contains(&id) {
            self.started_jobs.insert(id);
        }
    }

    /// Whether a task of the job is known to have started.
    pub fn has_started(&self, id: JobId) -> bool {
        self.started_jobs.contains(&id)
    }

    /// The number of a queue's jobs of which no task has started.
    pub fn waiting_jobs(&self, state: &ControlState, host: &str, prefix: &str) -> usize {
        let waits = |(id, job): &(&JobId, &crate::Job)| {
            *job.queue.host == *host
                && *job.queue.prefix == *prefix
                && !self.started_jobs.contains(*id)
                && job.occurrences.is_empty()
        };
        state.jobs.iter().filter(waits).count()
    }

    /// The number of a job's runs that use capacity on a worker.
    pub fn running_tasks(&self, id: JobId) -> usize {
        let tasks = self.job_tasks.get(&id).into_iter().flatten();
        let attempts = tasks.filter_map(|task| self.attempts.get(task));
        let superseded = self.superseded.of_job(id).map(|(_, run)| run);
        let runs = attempts.chain(superseded);
        runs.filter(|run| run.uses_capacity()).count()
    }

    /// All workers that are not removed.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView<'_>> {
        self.workers.iter().map(|(key, worker)| WorkerView {
            record: &worker.record,
            state: worker.state,
            runs: worker.tasks.len() + worker.superseded_runs,
            used: worker.used,
            slow: self.is_slow(key),
        })
    }

    fn handle_applied(&mut self, state: &ControlState, command: &Command) {
        match command {
            Command::Submit { id, .. } => {
                self.admission.record_applied(*id);
                self.activate_job(state, *id);
            }
            Command::Cancel { id } => self.remove_ended_job(state, *id),
            Command::RecordEnds { .. } => self.handle_ends_applied(state, command),
            Command::AddWorker(record) => self.handle_worker_recorded(state, &record.name),
            Command::RemoveWorkers { names } => self.handle_workers_removed(names),
            Command::Draining { name } => self.mark_draining(name),
            Command::Crashed { runs } => self.handle_crashes_applied(state, runs),
            Command::Learned(learned) => self.log_learned_committed(learned),
            Command::Configure(_)
            | Command::StartWave { .. }
            | Command::Maintained { .. }
            | Command::LeftWave { .. } => self.dirty_pools = DirtyPools::All,
            Command::Bootstrapped
            | Command::Resized { .. }
            | Command::TakeOver { .. }
            | Command::WorkerSilent { .. }
            | Command::WorkerLapsed { .. }
            | Command::JobsStopped { .. }
            | Command::Forget { .. } => {}
        }
    }

    fn propose(&mut self, command: Command) {
        self.effects.push(Effect::Propose(command));
    }

    fn log(&mut self, decision: Decision) {
        self.effects.push(Effect::Log(decision));
    }

    fn worker_name(&self, key: WorkerKey) -> Box<str> {
        self.workers[key].record.name.clone()
    }
}
