//! The task that owns the workers while this instance leads.

mod effects;

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use cleat_jobs::{Command, Event, Scheduler, SchedulerConfig};
use cleat_telemetry::Condition;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use log::warn;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::clock::{boot_time, wall_ms};
use crate::events::{ControlEvent, OwnershipEnd};
use crate::node::Shared;
use crate::platform::{AdviceClient, MachineClient, PlatformClients, WorkerClient};
use effects::{Call, end_commit_failures};

/// How often an instance that does not lead looks whether it does by now: well
/// below the time of an election.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);
/// How often the owner looks at what is due by time alone.
const TICK: Duration = Duration::from_millis(50);
/// How many events are taken before effects are carried out.
const BATCH: usize = 256;

/// Starts the task.
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
        commits: Arc::default(),
    };
    tokio::spawn(owner.run())
}

struct OwnerTask<W, M, A> {
    shared: Arc<Shared>,
    cfg: SchedulerConfig,
    workers: Arc<W>,
    machines: Arc<M>,
    adviser: Arc<A>,
    /// Whether its commands are committed.
    commits: Arc<Condition>,
}

/// Calls under way.
type Calls = FuturesUnordered<Call>;

impl<W: WorkerClient, M: MachineClient, A: AdviceClient> OwnerTask<W, M, A> {
    async fn run(self) {
        loop {
            if self.shared.leads() {
                self.own().await;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Takes over and owns the workers until the lead is lost.
    async fn own(&self) {
        let (tx, mut rx) = unbounded_channel();
        self.shared.state.tell(Some(tx));
        if self.take_over().await {
            let token = self.tell_takeover();
            let reason = self.serve(&mut rx).await;
            end_commit_failures(&self.shared, &self.commits);
            let end = ControlEvent::OwnsNoMore { token, reason };
            self.shared.events.emit(&end);
        }
        self.shared.state.tell(None);
        self.put(None);
    }

    fn put(&self, scheduler: Option<Scheduler>) {
        let mut place = self
            .shared
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *place = scheduler;
    }

    /// Commits the ownership, once the group has the voters it needs.
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
            let own = state.owner.is_some_and(|owner| owner.member == member);
            Scheduler::new(self.cfg, state, boot_time(), wall_ms()).filter(|_| own)
        });
        let taken = scheduler.is_some();
        self.put(scheduler);
        taken
    }

    /// Logs the ownership and gives its token.
    fn tell_takeover(&self) -> u64 {
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
                warn!("the workers can't be taken over yet: {error}");
                false
            }
        }
    }

    async fn serve(&self, rx: &mut UnboundedReceiver<Event>) -> OwnershipEnd {
        let mut calls = Calls::new();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut events = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = rx.recv_many(&mut events, BATCH) => {
                    if count == 0 {
                        return OwnershipEnd::LeadLost;
                    }
                }
                Some(event) = calls.next(), if !calls.is_empty() => events.extend(event),
                _ = ticks.tick() => events.push(Event::Tick { wall_ms: wall_ms() }),
            }
            take_ready(&mut calls, &mut events);
            if !self.shared.replica().status().is_leader() {
                return OwnershipEnd::LeadLost;
            }
            if !self.handle(&mut events, &calls) {
                return OwnershipEnd::Fenced;
            }
        }
    }

    /// Decides on events and carries the decisions out; false once another
    /// owner is known.
    fn handle(&self, events: &mut Vec<Event>, calls: &Calls) -> bool {
        let mut place = self
            .shared
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(scheduler) = place.as_mut() else {
            return false;
        };
        let now = boot_time();
        let effects = self
            .shared
            .state
            .read(|state| scheduler.handle(state, events.drain(..), now));
        drop(place);
        effects
            .into_iter()
            .all(|effect| self.carry_out(effect, calls))
    }
}

/// Takes the calls that have ended as well: one decision on many events costs
/// little more than one on a single event.
fn take_ready(calls: &mut Calls, events: &mut Vec<Event>) {
    while events.len() < BATCH
        && let Some(Some(event)) = calls.next().now_or_never()
    {
        events.extend(event);
    }
}
