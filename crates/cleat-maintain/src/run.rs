//! Executes the decisions of the reconciler on an instance while it leads.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cleat_world::{CommandBody, World};
use log::{info, warn};
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::{Effect, Event, Platform, Reconciler};

/// How often the reconciler checks whether moves and waves can advance.
const TICK: Duration = Duration::from_millis(500);
/// The maximum number of effects in progress at once, so that the load on the
/// platform and the log stays bounded however many pools are under maintenance.
const MAX_IN_PROGRESS: usize = 32;

/// This instance is not the leader or cannot reach a quorum. The outcome of a
/// proposed command is unknown; the reconciler decides again from the replicated
/// state.
#[derive(Debug, Snafu)]
#[snafu(display("this instance is no longer the leader, or cannot reach a quorum"))]
pub struct LeadershipLost;

/// Access to the replicated state and log on this instance.
pub trait ReplicatedState: Send + Sync + 'static {
    /// The term in which this instance leads; `None` unless it certainly leads now.
    fn leading_term(&self) -> Option<u64>;

    /// Reads the local replica.
    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R;

    /// Proposes a command on this instance and waits until it is applied.
    fn propose(&self, body: CommandBody)
    -> impl Future<Output = Result<(), LeadershipLost>> + Send;

    /// Waits until every entry that may accept requests has applied the log up to
    /// `index`.
    fn wait_in_force(&self, index: u64) -> impl Future<Output = Result<(), LeadershipLost>> + Send;
}

/// Advances moves and waves while this instance leads. Never returns.
pub async fn run<C: ReplicatedState, P: Platform>(replica: Arc<C>, platform: Arc<P>) {
    let mut executor = Executor::new(replica, platform);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => executor.tick(),
            Some(joined) = executor.tasks.join_next() => executor.complete(joined.ok()),
        }
    }
}

/// An effect that was executed, with the event that it led to.
struct Completed {
    term: u64,
    effect: Effect,
    event: Option<Event>,
}

struct Executor<C, P> {
    replica: Arc<C>,
    platform: Arc<P>,
    started: Instant,
    /// The term that `reconciler` belongs to.
    term: Option<u64>,
    reconciler: Reconciler,
    tasks: JoinSet<Completed>,
    in_progress: Vec<Effect>,
    /// Effects decided at the last tick that have not begun.
    queued: VecDeque<Effect>,
    ticks: usize,
}

impl<C: ReplicatedState, P: Platform> Executor<C, P> {
    fn new(replica: Arc<C>, platform: Arc<P>) -> Executor<C, P> {
        Executor {
            replica,
            platform,
            started: Instant::now(),
            term: None,
            reconciler: Reconciler::default(),
            tasks: JoinSet::new(),
            in_progress: Vec::new(),
            queued: VecDeque::new(),
            ticks: 0,
        }
    }

    fn tick(&mut self) {
        self.queued.clear();
        self.ticks = self.ticks.wrapping_add(1);
        self.handle(Event::Tick);
    }

    fn handle(&mut self, event: Event) {
        let term = self.replica.leading_term();
        if term != self.term {
            self.restart(term);
        }
        if term.is_none() {
            return;
        }
        let now = self.started.elapsed();
        let reconciler = &mut self.reconciler;
        let effects = self
            .replica
            .world(|world| reconciler.handle(event, world, now));
        if !effects.is_empty() {
            self.queued = effects.into();
            // Rotate so that effects late in the order are not always begun last.
            let length = self.queued.len();
            self.queued.rotate_left(self.ticks % length);
        }
        self.begin_queued();
    }

    /// Begins queued effects up to [`MAX_IN_PROGRESS`].
    fn begin_queued(&mut self) {
        let Some(term) = self.term else {
            return;
        };
        while self.in_progress.len() < MAX_IN_PROGRESS
            && let Some(effect) = self.queued.pop_front()
        {
            self.begin(effect, term);
        }
    }

    /// Starts over in another term: a new leader has none of the observations of an
    /// earlier one.
    fn restart(&mut self, term: Option<u64>) {
        self.term = term;
        self.reconciler = Reconciler::default();
        self.tasks.abort_all();
        self.in_progress.clear();
        self.queued.clear();
    }

    fn begin(&mut self, effect: Effect, term: u64) {
        if self.in_progress.contains(&effect) {
            return;
        }
        self.in_progress.push(effect.clone());
        let (replica, platform) = (self.replica.clone(), self.platform.clone());
        self.tasks.spawn(async move {
            let event = execute(&*replica, &*platform, &effect, term).await;
            Completed {
                term,
                effect,
                event,
            }
        });
    }

    fn complete(&mut self, completed: Option<Completed>) {
        // An aborted task belongs to an earlier term.
        let Some(completed) = completed.filter(|completed| Some(completed.term) == self.term)
        else {
            return;
        };
        self.in_progress
            .retain(|effect| *effect != completed.effect);
        match completed.event {
            Some(event) => self.handle(event),
            None => self.begin_queued(),
        }
    }
}

/// Executes an effect and returns the event to handle, if any.
async fn execute<C: ReplicatedState, P: Platform>(
    replica: &C,
    platform: &P,
    effect: &Effect,
    term: u64,
) -> Option<Event> {
    match effect {
        Effect::Propose(body) => {
            info!("proposing maintenance command {body:?}");
            // Whatever the outcome, the next tick decides from the replicated state.
            let _ = replica.propose(body.clone()).await;
            None
        }
        Effect::AwaitInForce { index } => {
            let waited = replica.wait_in_force(*index).await;
            waited.ok().map(|()| Event::InForce { index: *index })
        }
        Effect::RunAction(token) => {
            let at = replica.world(|world| world.fleet().platform)?;
            match platform.run_action(at, token, term).await {
                Ok(state) => {
                    let token = token.clone();
                    Some(Event::Reported { token, state })
                }
                Err(error) => {
                    warn!("maintenance action {token} failed, will retry: {error}");
                    None
                }
            }
        }
    }
}
