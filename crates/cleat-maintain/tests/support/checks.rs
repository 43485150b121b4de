//! The invariants, checked after every command and every action.

use std::time::Duration;

use cleat_maintain::{Action, ActionToken};
use cleat_world::{Availability, CommandBody, Phase, Place, Step, World};
use indexmap::IndexMap;

use super::fleet::{DEADLINE_S, POOLS};

/// Checks the invariants, with the state that they need.
#[derive(Default)]
pub(crate) struct Checks {
    /// Since when no new requests are sent to each instance.
    no_requests_since: IndexMap<Box<str>, Duration>,
}

/// The state before a command.
pub(crate) struct Before {
    available: [Option<Availability>; 2],
    places: IndexMap<Box<str>, Place>,
}

impl Before {
    pub(crate) fn of(world: &World) -> Before {
        Before {
            available: POOLS.map(|pool| world.availability(pool)),
            places: world.places().clone(),
        }
    }
}

impl Checks {
    /// Checks the invariants after `body` changed the state from `before` to `after`.
    pub(crate) fn check_command(
        &mut self,
        body: &CommandBody,
        before: &Before,
        after: &World,
        now: Duration,
    ) {
        check_budgets(body, before, after);
        check_places(after);
        self.check_moves(before, after, now);
        for (instance, place) in after.places() {
            let step = after
                .waves()
                .get(&place.pool)
                .and_then(|w| w.step(instance));
            let moving = matches!(place.phase, Phase::Leaving { .. } | Phase::Drained { .. });
            let no_requests = moving || step.is_some_and(Step::blocks_requests);
            match no_requests {
                true => {
                    self.no_requests_since
                        .entry(instance.clone())
                        .or_insert(now);
                }
                false => {
                    self.no_requests_since.swap_remove(instance);
                }
            }
        }
    }

    /// Checks that a move ends only once no request can be in progress on the
    /// instance.
    fn check_moves(&self, before: &Before, after: &World, now: Duration) {
        for (instance, place) in after.places() {
            let was = before.places.get(instance);
            // A removed pool has no requests that could be in progress.
            let left = |was: &&Place| {
                was.pool != place.pool && after.fleet().pools.find(&was.pool).is_some()
            };
            let Some(was) = was.filter(left) else {
                continue;
            };
            // No request was ever sent to the instance in the pool that it leaves.
            if was.phase == Phase::Joining && place.phase == Phase::Joining {
                continue;
            }
            assert!(
                matches!(was.phase, Phase::Drained { .. }),
                "{instance} joined another pool without being drained"
            );
            self.check_no_requests(instance, now);
        }
    }

    fn check_no_requests(&self, instance: &str, now: Duration) {
        let since = self
            .no_requests_since
            .get(instance)
            .expect("requests to the instance were stopped");
        let ended_at = *since + Duration::from_secs(DEADLINE_S);
        assert!(now >= ended_at, "{instance}: requests may be in progress");
    }

    /// Checks the invariants when an action on the platform begins.
    pub(crate) fn check_action(&self, token: &ActionToken, world: &World, now: Duration) {
        let place = &world.places()[&token.instance];
        let wave = world.waves().get(&place.pool);
        let state = wave.and_then(|wave| wave.instances.get(&token.instance));
        let state = state.expect("an action belongs to a step");
        assert_eq!(
            state.epoch, token.epoch,
            "{token}: not of the committed step"
        );
        if token.action == Action::Reboot {
            assert_eq!(state.step, Step::Rebooting, "{token}");
            assert!(
                !world.has_target(&token.instance),
                "{token}: the instance still serves"
            );
            self.check_no_requests(&token.instance, now);
        }
        assert!(
            world.is_away(&token.instance),
            "{token}: the instance counts as available"
        );
    }
}

/// Checks that no command makes more instances unavailable than the budget allows.
/// Failures may do so; they are applied as withdrawals of targets.
fn check_budgets(body: &CommandBody, before: &Before, after: &World) {
    if matches!(body, CommandBody::Withdraw(_)) {
        return;
    }
    for (i, pool) in POOLS.iter().enumerate() {
        let (Some(was), Some(is)) = (before.available[i], after.availability(pool)) else {
            continue;
        };
        let worse = is.away > was.away || is.budget < was.budget;
        assert!(
            is.is_within_budget() || !worse || !was.is_within_budget() && is.budget < was.budget,
            "{body:?} exceeded the budget of {pool}: {was:?} became {is:?}"
        );
    }
}

/// Checks that each instance is in one pool and runs only targets of the services of
/// that pool.
fn check_places(world: &World) {
    let fleet = world.fleet();
    assert_eq!(world.places().len(), fleet.instances.len());
    for (instance, place) in world.places() {
        assert!(fleet.instances.find(instance).is_some());
        assert!(fleet.pools.find(&place.pool).is_some());
        let waves = world.waves().iter();
        let in_waves = waves.filter(|(_, wave)| wave.instances.contains_key(instance));
        let mut pools = in_waves.map(|(pool, _)| pool);
        assert!(
            pools.all(|pool| *pool == place.pool),
            "{instance} in two pools"
        );
    }
    for target in world.targets().values() {
        let announcement = &target.announcement;
        let service = fleet
            .services
            .by_name(&announcement.service)
            .expect("a service");
        let place = &world.places()[&announcement.instance];
        assert_eq!(fleet.pools.name(service.pool), &*place.pool);
        assert!(place.phase.accepts_targets());
    }
}
