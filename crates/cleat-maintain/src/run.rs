//! Carrying out what was decided, on an instance while it leads.

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

/// How often it is looked whether something can go on.
const TICK: Duration = Duration::from_millis(500);
/// The most effects in progress at once: what the platform and the log are
/// asked stays bounded however many pools are under maintenance.
const MOST_IN_PROGRESS: usize = 32;

/// The log did not take a command, or its outcome is unknown. It is decided
/// anew from the state.
#[derive(Debug, Snafu)]
#[snafu(display("this instance does not lead any more, or reaches no quorum"))]
pub struct LeadershipLost;

/// The replicated state and log as this instance has them.
pub trait ReplicatedState: Send + Sync + 'static {
    /// The term in which this instance leads, while it certainly does.
    fn leading_term(&self) -> Option<u64>;

    /// Reads the local replica.
    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R;

    /// Proposes a command here and waits until it is applied.
    fn propose(&self, body: CommandBody)
    -> impl Future<Output = Result<(), LeadershipLost>> + Send;

    /// Waits until `index` is in force wherever requests are taken.
    fn wait_in_force(&self, index: u64) -> impl Future<Output = Result<(), LeadershipLost>> + Send;
}

/// Takes moves and waves on while this instance leads; never returns.
pub async fn run<C: ReplicatedState, P: Platform>(control: Arc<C>, platform: Arc<P>) {
    let mut shell = Shell::new(control, platform);
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => shell.tick(),
            Some(ended) = shell.tasks.join_next() => shell.ended(ended.ok()),
        }
    }
}

/// How an effect ended.
struct Ended {
    term: u64,
    effect: Effect,
    event: Option<Event>,
}

struct Shell<C, P> {
    control: Arc<C>,
    platform: Arc<P>,
    started: Instant,
    /// The term that `reconciler` decides in.
    term: Option<u64>,
    reconciler: Reconciler,
    tasks: JoinSet<Ended>,
    in_progress: Vec<Effect>,
    /// Decided at the last tick and not begun yet.
    queued: VecDeque<Effect>,
    ticks: usize,
}

impl<C: ReplicatedState, P: Platform> Shell<C, P> {
    fn new(control: Arc<C>, platform: Arc<P>) -> Shell<C, P> {
        Shell {
            control,
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
        self.on(Event::Tick);
    }

    fn on(&mut self, event: Event) {
        let term = self.control.leading_term();
        if term != self.term {
            self.restart(term);
        }
        if term.is_none() {
            return;
        }
        let now = self.started.elapsed();
        let reconciler = &mut self.reconciler;
        let effects = self
            .control
            .world(|world| reconciler.handle(event, world, now));
        if !effects.is_empty() {
            self.queued = effects.into();
            // Whoever comes late in the order is not always served last.
            let length = self.queued.len();
            self.queued.rotate_left(self.ticks % length);
        }
        self.fill();
    }

    /// Begins what is queued, as far as the bound allows.
    fn fill(&mut self) {
        let Some(term) = self.term else {
            return;
        };
        while self.in_progress.len() < MOST_IN_PROGRESS
            && let Some(effect) = self.queued.pop_front()
        {
            self.begin(effect, term);
        }
    }

    /// A new leader knows nothing of what an earlier one saw.
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
        let (control, platform) = (self.control.clone(), self.platform.clone());
        self.tasks.spawn(async move {
            let event = perform(&*control, &*platform, &effect, term).await;
            Ended {
                term,
                effect,
                event,
            }
        });
    }

    fn ended(&mut self, ended: Option<Ended>) {
        // An aborted task belongs to an earlier term.
        let Some(ended) = ended.filter(|ended| Some(ended.term) == self.term) else {
            return;
        };
        self.in_progress.retain(|effect| *effect != ended.effect);
        match ended.event {
            Some(event) => self.on(event),
            None => self.fill(),
        }
    }
}

async fn perform<C: ReplicatedState, P: Platform>(
    control: &C,
    platform: &P,
    effect: &Effect,
    term: u64,
) -> Option<Event> {
    match effect {
        Effect::Propose(body) => {
            info!("maintenance: {body:?}");
            // Whatever came of it, the next tick decides from the state.
            let _ = control.propose(body.clone()).await;
            None
        }
        Effect::AwaitInForce { index } => {
            let waited = control.wait_in_force(*index).await;
            waited.ok().map(|()| Event::InForce { index: *index })
        }
        Effect::RunAction(token) => {
            let at = control.world(|world| world.fleet().platform)?;
            match platform.run_action(at, token, term).await {
                Ok(state) => {
                    let token = token.clone();
                    Some(Event::Reported { token, state })
                }
                Err(error) => {
                    warn!("{token}: {error}");
                    None
                }
            }
        }
    }
}
