//! What must hold after every command and every effect.

use std::time::Duration;

use cleat_maintain::{Action, ActionToken};
use cleat_world::{Availability, CommandBody, Phase, Place, Step, World};
use indexmap::IndexMap;

use super::fleet::{DEADLINE_S, POOLS};

/// The invariants, with what they need to remember.
#[derive(Default)]
pub(crate) struct Checks {
    /// Since when nothing new is sent to each instance.
    quiet_since: IndexMap<Box<str>, Duration>,
}

/// What the checks compare with.
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
    /// After `body` took `before` to `after`.
    pub(crate) fn command(
        &mut self,
        body: &CommandBody,
        before: &Before,
        after: &World,
        now: Duration,
    ) {
        check_budgets(body, before, after);
        check_places(after);
        self.check_joined(before, after, now);
        for (instance, place) in after.places() {
            let step = after
                .waves()
                .get(&place.pool)
                .and_then(|w| w.step(instance));
            let moving = matches!(place.phase, Phase::Leaving { .. } | Phase::Drained { .. });
            let quiet = moving || step.is_some_and(Step::hides_targets);
            match quiet {
                true => {
                    self.quiet_since.entry(instance.clone()).or_insert(now);
                }
                false => {
                    self.quiet_since.swap_remove(instance);
                }
            }
        }
    }

    /// A move ends only once nothing can be in progress on the instance.
    fn check_joined(&self, before: &Before, after: &World, now: Duration) {
        for (instance, place) in after.places() {
            let was = before.places.get(instance);
            // A pool that is gone has no requests that could be in progress.
            let left = |was: &&Place| {
                was.pool != place.pool && after.fleet().pools.find(&was.pool).is_some()
            };
            let Some(was) = was.filter(left) else {
                continue;
            };
            // Nothing was ever sent to it in the pool that it leaves.
            if was.phase == Phase::Joining && place.phase == Phase::Joining {
                continue;
            }
            assert!(
                matches!(was.phase, Phase::Drained { .. }),
                "{instance} jumped"
            );
            self.check_quiet(instance, now);
        }
    }

    fn check_quiet(&self, instance: &str, now: Duration) {
        let since = self.quiet_since.get(instance).expect("it was made quiet");
        let quiet_at = *since + Duration::from_secs(DEADLINE_S);
        assert!(now >= quiet_at, "{instance}: requests may be in progress");
    }

    /// An effect on the platform begins.
    pub(crate) fn effect(&self, token: &ActionToken, world: &World, now: Duration) {
        let place = &world.places()[&token.instance];
        let states = world.waves().get(&place.pool);
        let state = states.and_then(|wave| wave.instances.get(&token.instance));
        let state = state.expect("an effect belongs to a step");
        assert_eq!(state.epoch, token.epoch, "{token}: not the step committed");
        if token.action == Action::Reboot {
            assert_eq!(state.step, Step::Rebooting, "{token}");
            assert!(!world.has_target(&token.instance), "{token}: still serves");
            self.check_quiet(&token.instance, now);
        }
        assert!(
            world.is_away(&token.instance),
            "{token}: counts as available"
        );
    }
}

/// No command makes more instances away than the budget allows. Failures may;
/// they come as withdrawals.
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
            is.holds() || !worse || !was.holds() && is.budget < was.budget,
            "{body:?} broke the budget of {pool}: {was:?} became {is:?}"
        );
    }
}

/// One pool each, and targets only of the services of that pool.
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
        let said = &target.announcement;
        let service = fleet.services.by_name(&said.service).expect("a service");
        let place = &world.places()[&said.instance];
        assert_eq!(fleet.pools.name(service.pool), &*place.pool);
        assert!(place.phase.takes_targets());
    }
}
