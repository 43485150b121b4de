//! Decides what to do next from the replicated state and the events observed by
//! the leader.

use std::time::Duration;

use cleat_world::{CommandBody, Step, StepInstance, World};

use super::observations::Observations;
use super::{moves, next_instance, steps};
use crate::{ActionState, ActionToken};

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Every entry that may accept requests has applied the log up to this index.
    InForce {
        /// The index.
        index: u64,
    },
    /// The platform reported the state of an action.
    Reported {
        /// The action.
        token: ActionToken,
        /// Its state.
        state: ActionState,
    },
}

/// Something to do. Each effect is idempotent.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Propose a command. It is fenced: if it is applied too late, it changes nothing.
    Propose(CommandBody),
    /// Wait until every entry that may accept requests has applied a log index, then
    /// report [`Event::InForce`].
    AwaitInForce {
        /// The index.
        index: u64,
    },
    /// Have the platform run an action, then report [`Event::Reported`].
    RunAction(ActionToken),
}

/// Makes the decisions of one leader about moves and waves.
///
/// Invariant: [`Effect::RunAction`] is only returned for a step that is already in
/// the replicated state.
#[derive(Debug, Default)]
pub struct Reconciler {
    observations: Observations,
}

impl Reconciler {
    /// Handles `event` and returns what to do next. `now` is monotonic, counted from
    /// any fixed point in time of this leader.
    ///
    /// Only [`Event::Tick`] scans the whole state. The other events are recorded for
    /// the next tick, because hundreds of them may come between two ticks.
    pub fn handle(&mut self, event: Event, world: &World, now: Duration) -> Vec<Effect> {
        match event {
            Event::Tick => return self.plan(world, now),
            Event::InForce { index } => self.observations.record_in_force(index, now),
            Event::Reported { token, state } => {
                self.observations
                    .record_action_state(&token.instance, token.epoch, state);
            }
        }
        Vec::new()
    }

    fn plan(&mut self, world: &World, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.plan_moves(world, now, &mut effects);
        self.plan_waves(world, now, &mut effects);
        self.observations
            .retain(|name, epoch| is_in_step(world, name, epoch));
        effects
    }

    fn plan_moves(&mut self, world: &World, now: Duration, effects: &mut Vec<Effect>) {
        for (instance, place) in world.places() {
            if place.phase.destination().is_some() {
                let observation = self.observations.get_or_insert(instance, place.epoch, now);
                effects.extend(moves::next(world, instance, place, observation, now));
            }
        }
    }

    fn plan_waves(&mut self, world: &World, now: Duration, effects: &mut Vec<Effect>) {
        for (pool, wave) in world.waves() {
            for (instance, state) in &wave.instances {
                if !state.step.is_away() {
                    continue;
                }
                let observation = self.observations.get_or_insert(instance, state.epoch, now);
                let cx = steps::Context {
                    world,
                    pool,
                    instance,
                    epoch: state.epoch,
                    now,
                };
                match steps::next(&cx, state.step, observation) {
                    steps::Next::Nothing => {}
                    steps::Next::Do(effect) => effects.push(effect),
                    steps::Next::Enter(to) => {
                        effects.push(propose_step(pool, wave.id, instance, state.step, to));
                    }
                }
            }
            // One instance per pool and tick: the next choice must see this one in the state.
            if let Ok(instance) = next_instance(world, pool) {
                let (from, to) = (Step::Waiting, Step::Draining);
                effects.push(propose_step(pool, wave.id, instance, from, to));
            }
        }
    }
}

fn propose_step(pool: &str, wave: u64, instance: &str, from: Step, to: Step) -> Effect {
    Effect::Propose(CommandBody::StepInstance(StepInstance {
        pool: pool.into(),
        wave,
        instance: instance.into(),
        from,
        to,
    }))
}

/// Whether the instance is still in the step or phase that began at `epoch`.
fn is_in_step(world: &World, instance: &str, epoch: u64) -> bool {
    let Some(place) = world.places().get(instance) else {
        return false;
    };
    let wave = world.waves().get(&place.pool);
    let state = wave.and_then(|wave| wave.instances.get(instance));
    place.epoch == epoch || state.is_some_and(|state| state.epoch == epoch)
}
