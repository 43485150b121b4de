//! The next phase of a move.

use std::time::Duration;

use cleat_world::{AdvanceMove, Availability, CommandBody, Phase, Place, Step, World};

use super::Effect;
use super::watch::Watch;

/// What takes the move of `instance` on, if anything does now.
pub(super) fn next(
    world: &World,
    instance: &str,
    place: &Place,
    watch: &Watch,
    now: Duration,
) -> Option<Effect> {
    let phase = match &place.phase {
        Phase::Joining | Phase::Member => return None,
        Phase::Ordered { to } => {
            if is_maintained(world, instance, place) || !has_room(world, instance, place) {
                return None;
            }
            Phase::Leaving { to: to.clone() }
        }
        Phase::Leaving { to } => {
            let Some(in_force_at) = watch.in_force_at else {
                return Some(Effect::AwaitInForce { index: place.epoch });
            };
            if now < in_force_at + longest_request(world, &place.pool) {
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

/// A wave finishes with the instance first.
fn is_maintained(world: &World, instance: &str, place: &Place) -> bool {
    let wave = world.waves().get(&place.pool);
    let step = wave.and_then(|wave| wave.step(instance));
    step.is_some_and(|step| step.is_away() && step != Step::Failed)
}

fn has_room(world: &World, instance: &str, place: &Place) -> bool {
    let found = world.availability(&place.pool);
    world.is_away(instance) || found.is_some_and(Availability::has_room)
}

/// After this long nothing that was sent to the pool before is in progress.
pub(super) fn longest_request(world: &World, pool: &str) -> Duration {
    let fleet = world.fleet();
    let pool = fleet.pools.find(pool);
    let services = fleet.services.iter().map(|(_, _, service)| service);
    let of_pool = services.filter(|service| Some(service.pool) == pool);
    let longest = of_pool.map(|service| service.deadline_ms).max();
    Duration::from_millis(longest.unwrap_or(0))
}
