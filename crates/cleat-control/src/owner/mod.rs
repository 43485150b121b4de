//! The owner task, which runs the scheduler and sends orders to the workers while this
//! instance leads.

mod calls;
mod effects;
mod load;
mod ticks;

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use cleat_jobs::{Command, Event, Scheduler, SchedulerConfig};
use cleat_telemetry::Condition;
use log::warn;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::task::coop::consume_budget;
use tokio::task::yield_now;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::clock::{boot_time, wall_ms};
use crate::events::{ControlEvent, OwnershipEnd};
use crate::node::Shared;
use crate::platform::{AdviceClient, MachineClient, PlatformClients, WorkerClient};
use calls::PendingCalls;
use effects::end_commit_failures;
pub(crate) use load::OwnerLoad;
use load::{LoadMeter, TimeUsed, clear_gauges};
use ticks::TickSchedule;

/// How often an instance that does not lead checks whether it became the leader:
/// well below the time of an election.
const LEADERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The interval of the scheduler's tick events, which trigger what is due by time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of events that are handled before effects are executed.
const MAX_EVENT_BATCH: usize = 256;

/// Spawns the owner task.
pub(crate) fn spawn<W: WorkerClient, M: MachineClient, A: AdviceClient>(
    shared: Arc<Shared>,
    cfg: SchedulerConfig,
    clients: PlatformClients<W, M, A>,
) -> JoinHandle<()> {
    let owner = OwnerTask {
        shared,
        cfg,
        workers: Arc::new(clients.workers),
        machines: Arc::new(clients.machines),
        adviser: Arc::new(clients.adviser),
        commit_failures: Arc::default(),
        load: Arc::default(),
    };
    tokio::spawn(owner.run())
}

struct OwnerTask<W, M, A> {
    shared: Arc<Shared>,
    cfg: SchedulerConfig,
    workers: Arc<W>,
    machines: Arc<M>,
    adviser: Arc<A>,
    /// Tracks whether proposed commands fail to commit.
    commit_failures: Arc<Condition>,
    load: Arc<LoadMeter>,
}

impl<W: WorkerClient, M: MachineClient, A: AdviceClient> OwnerTask<W, M, A> {
    async fn run(self) {
        loop {
            if self.shared.leads() {
                self.run_as_owner().await;
            }
            sleep(LEADERSHIP_POLL_INTERVAL).await;
        }
    }

    /// Takes over the workers, and runs the scheduler until the leadership is lost.
    async fn run_as_owner(&self) {
        let (tx, mut rx) = unbounded_channel();
        self.shared.state.set_owner(Some(tx));
        if self.take_over().await {
            let token = self.log_takeover();
            let reason = self.run_event_loop(&mut rx).await;
            end_commit_failures(&self.shared, &self.commit_failures);
            clear_gauges(&self.shared.metrics.counters);
            let end = ControlEvent::OwnsNoMore { token, reason };
            self.shared.events.emit(&end);
        }
        self.shared.state.set_owner(None);
        self.set_scheduler(None);
    }

    fn set_scheduler(&self, scheduler: Option<Scheduler>) {
        let mut guard = self
            .shared
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *guard = scheduler;
    }

    /// Commits that this instance is the owner, once the group has enough voters;
    /// false if that failed.
    async fn take_over(&self) -> bool {
        if !self.shared.state.read(|state| state.bootstrapped) {
            let status = self.shared.replica().status();
            let voters = status.members().iter().filter(|m| m.votes).count();
            if voters < self.shared.voters || !self.commit(Command::Bootstrapped).await {
                return false;
            }
        }
        let member = self.shared.id.0;
        if !self.commit(Command::TakeOver { member }).await {
            return false;
        }
        let scheduler = self.shared.state.read(|state| {
            let is_owner = state.owner.is_some_and(|owner| owner.member == member);
            Scheduler::new(self.cfg, state, boot_time(), wall_ms()).filter(|_| is_owner)
        });
        let taken_over = scheduler.is_some();
        self.set_scheduler(scheduler);
        taken_over
    }

    /// Logs the takeover, and returns the fencing token of this owner.
    fn log_takeover(&self) -> u64 {
        let owner = self.shared.with_scheduler(Scheduler::owner);
        let token = owner.map_or(0, |owner| owner.token);
        let event = self.shared.state.read(|state| ControlEvent::Owns {
            token,
            ordinal: owner.map_or(0, |owner| owner.ordinal),
            workers: state.workers.len(),
            jobs: state.jobs.len(),
        });
        self.shared.events.emit(&event);
        token
    }

    async fn commit(&self, command: Command) -> bool {
        match self.shared.replica().propose(command.encode()).await {
            Ok(_) => true,
            Err(error) => {
                warn!("could not commit the takeover of the workers; retrying: {error}");
                false
            }
        }
    }

    /// Calls are polled without a budget of the runtime, so the loop yields after a full batch,
    /// and after as many other turns as the budget has: the heartbeats of the group and the
    /// connections to the workers are tasks of the same runtime.
    async fn run_event_loop(&self, rx: &mut UnboundedReceiver<Event>) -> OwnershipEnd {
        let mut calls = PendingCalls::default();
        self.load.begin_ownership(boot_time(), TimeUsed::read());
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(MAX_EVENT_BATCH);
        let mut schedule = TickSchedule::new(boot_time());
        loop {
            tokio::select! {
                count = rx.recv_many(&mut events, MAX_EVENT_BATCH) => {
                    if count == 0 {
                        return OwnershipEnd::LeadLost;
                    }
                }
                Some(event) = calls.next(), if !calls.is_empty() => events.extend(event),
                _ = ticks.tick() => schedule.record_due(),
            }
            let all_collected = calls.collect_completed(&mut events);
            if let Some(tick) = schedule.take_due(boot_time(), all_collected) {
                if let Some(stall) = tick.stall {
                    self.load.stalled(stall);
                    events.push(Event::Stalled);
                }
                events.insert(0, Event::Tick { wall_ms: wall_ms() });
            }
            if !self.shared.replica().status().is_leader() {
                return OwnershipEnd::LeadLost;
            }
            if !self.handle_events(&mut events, &calls) {
                return OwnershipEnd::Fenced;
            }
            if all_collected {
                consume_budget().await;
            } else {
                yield_now().await;
            }
        }
    }

    /// Passes events to the scheduler and executes its effects; false once a later
    /// owner is known.
    fn handle_events(&self, events: &mut Vec<Event>, calls: &PendingCalls) -> bool {
        let mut guard = self
            .shared
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(scheduler) = guard.as_mut() else {
            return false;
        };
        let now = boot_time();
        let effects = self
            .shared
            .state
            .read(|state| scheduler.handle(state, events.drain(..), now));
        let starts = scheduler.unanswered_starts();
        drop(guard);
        if let Some(report) = self.load.report(now, starts, TimeUsed::read) {
            report.publish(&self.shared.metrics.counters);
            self.shared.events.emit(&ControlEvent::OwnerLoad(report));
        }
        let goes_on = effects
            .into_iter()
            .all(|effect| self.execute(effect, calls));
        self.load.turn_ended(boot_time().saturating_sub(now));
        goes_on
    }
}
