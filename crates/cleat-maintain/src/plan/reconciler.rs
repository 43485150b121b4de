//! From the replicated state and what was seen to what is done next.

use std::time::Duration;

use cleat_world::{CommandBody, Step, StepInstance, World};

use super::watch::Watches;
use super::{moves, next_instance, steps};
use crate::{ActionState, ActionToken};

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Everything up to this log index is in force wherever requests are
    /// taken.
    InForce {
        /// The index.
        index: u64,
    },
    /// The platform reported on an effect.
    Reported {
        /// The effect.
        token: ActionToken,
        /// How far it is.
        state: ActionState,
    },
}

/// Something to do. Each may be done any number of times.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Propose a command; it is fenced, so late it changes nothing.
    Propose(CommandBody),
    /// Wait until a log index is in force, and say so.
    AwaitInForce {
        /// The index.
        index: u64,
    },
    /// Have the platform carry out an effect, and say how far it is.
    RunAction(ActionToken),
}

/// The decisions of one leader about moves and waves.
///
/// Invariant: an [`Effect::RunAction`] is given only for a step that is in the
/// replicated state already.
#[derive(Debug, Default)]
pub struct Reconciler {
    watches: Watches,
}

impl Reconciler {
    /// Takes in `event` and gives what is to be done next. `now` is
    /// monotonic, since any fixed moment of this leader.
    ///
    /// Only [`Event::Tick`] looks at the whole state; the others are kept for
    /// it, since hundreds of them may come between two ticks.
    pub fn handle(&mut self, event: Event, world: &World, now: Duration) -> Vec<Effect> {
        match event {
            Event::Tick => return self.plan(world, now),
            Event::InForce { index } => self.watches.record_in_force(index, now),
            Event::Reported { token, state } => {
                self.watches
                    .record_action_state(&token.instance, token.epoch, state);
            }
        }
        Vec::new()
    }

    fn plan(&mut self, world: &World, now: Duration) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.plan_moves(world, now, &mut effects);
        self.plan_waves(world, now, &mut effects);
        self.watches
            .retain(|name, epoch| is_under_way(world, name, epoch));
        effects
    }

    fn plan_moves(&mut self, world: &World, now: Duration, effects: &mut Vec<Effect>) {
        for (instance, place) in world.places() {
            if place.phase.destination().is_some() {
                let watch = self.watches.over(instance, place.epoch, now);
                effects.extend(moves::next(world, instance, place, watch, now));
            }
        }
    }

    fn plan_waves(&mut self, world: &World, now: Duration, effects: &mut Vec<Effect>) {
        for (pool, wave) in world.waves() {
            for (instance, state) in &wave.instances {
                if !state.step.is_away() {
                    continue;
                }
                let watch = self.watches.over(instance, state.epoch, now);
                let cx = steps::Context {
                    world,
                    pool,
                    instance,
                    epoch: state.epoch,
                    now,
                };
                match steps::next(&cx, state.step, watch) {
                    steps::Next::Nothing => {}
                    steps::Next::Do(effect) => effects.push(effect),
                    steps::Next::Enter(to) => {
                        effects.push(propose_step(pool, wave.id, instance, state.step, to));
                    }
                }
            }
            // One at a time: the next is chosen in the light of this one.
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
fn is_under_way(world: &World, instance: &str, epoch: u64) -> bool {
    let Some(place) = world.places().get(instance) else {
        return false;
    };
    let wave = world.waves().get(&place.pool);
    let state = wave.and_then(|wave| wave.instances.get(instance));
    place.epoch == epoch || state.is_some_and(|state| state.epoch == epoch)
}
