//! The next phase of a move.

use std::time::Duration;

use cleat_world::{AdvanceMove, Availability, CommandBody, Phase, Place, Step, World};

use super::Effect;
use super::observations::Observation;

/// The effect that advances the move of `instance`, if it can advance now.
pub(super) fn next(
    world: &World,
    instance: &str,
    place: &Place,
    observation: &Observation,
    now: Duration,
) -> Option<Effect> {
    let phase = match &place.phase {
        Phase::Joining | Phase::Member => return None,
        Phase::Ordered { to } => {
            if is_maintained(world, instance, place) || !may_leave(world, instance, place) {
                return None;
            }
            Phase::Leaving { to: to.clone() }
        }
        Phase::Leaving { to } => {
            let Some(in_force_at) = observation.in_force_at else {
                return Some(Effect::AwaitInForce { index: place.epoch });
            };
            if now < in_force_at + max_request_duration(world, &place.pool) {
                return None;
            }
            Phase::Drained { to: to.clone() }
        }
        Phase::Drained { .. } => Phase::Joining,
    };
    Some(Effect::Propose(CommandBody::AdvanceMove(AdvanceMove {
        instance: instance.into(),
        epoch: place.epoch,
        phase,
    })))
}

/// Whether a wave is maintaining the instance. The move waits until it is done.
fn is_maintained(world: &World, instance: &str, place: &Place) -> bool {
    let wave = world.waves().get(&place.pool);
    let step = wave.and_then(|wave| wave.step(instance));
    step.is_some_and(|step| step.is_away() && step != Step::Failed)
}

/// Whether the instance may leave its pool: it is unavailable already, or the
/// budget of the pool allows one more to be.
fn may_leave(world: &World, instance: &str, place: &Place) -> bool {
    let availability = world.availability(&place.pool);
    world.is_away(instance) || availability.is_some_and(Availability::has_budget_left)
}

/// The maximum duration of a request to the pool. After this time none of the
/// requests sent before is in progress.
pub(super) fn max_request_duration(world: &World, pool: &str) -> Duration {
    let fleet = world.fleet();
    let pool = fleet.pools.find(pool);
    let services = fleet.services.iter().map(|(_, _, service)| service);
    let of_pool = services.filter(|service| Some(service.pool) == pool);
    let longest = of_pool.map(|service| service.deadline_ms).max();
    Duration::from_millis(longest.unwrap_or(0))
}
