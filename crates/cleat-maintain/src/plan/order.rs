//! Which instance a wave maintains next.

use cleat_world::{Instance, Phase, Step, Wave, World};
use indexmap::IndexMap;

use super::WaitReason;

/// The instance that the wave of `pool` maintains next.
///
/// Part of the budget is reserved for the failure of the rack with the most
/// serving instances, but a budget above zero always allows one instance to be
/// maintained. Instances are maintained rack by rack, so that those unavailable
/// at the same time share failure domains.
///
/// # Errors
/// Why the wave maintains no further instance now.
pub fn next_instance<'a>(world: &'a World, pool: &str) -> Result<&'a str, WaitReason> {
    let Some(wave) = world.waves().get(pool) else {
        return Err(under_way(&[]));
    };
    if wave.paused {
        return Err(WaitReason::Paused);
    }
    if world.fleet().platform.is_none() {
        return Err(WaitReason::NoPlatform);
    }
    let candidates = candidates(world, wave)?;
    // An instance that is unavailable already does not use more of the budget.
    if let Some(name) = candidates.iter().find(|name| world.is_away(name)) {
        return Ok(name);
    }
    check_budget(world, pool)?;
    let domains = FailureDomains::of_unavailable(world, pool);
    let next = candidates
        .into_iter()
        .min_by_key(|name| domains.sort_key(world, name));
    next.ok_or_else(|| under_way(&[]))
}

/// The instances that the wave has not started on and that are not moving out of
/// the pool.
fn candidates<'a>(world: &'a World, wave: &'a Wave) -> Result<Vec<&'a str>, WaitReason> {
    let in_step = |wanted: Step| {
        let states = wave.instances.iter();
        let matching = states.filter(move |(_, state)| state.step == wanted);
        matching.map(|(name, _)| &**name)
    };
    let stays = |name: &&str| {
        let place = world.places().get(*name);
        place.is_some_and(|place| matches!(place.phase, Phase::Joining | Phase::Member))
    };
    let (staying, moving): (Vec<_>, Vec<_>) = in_step(Step::Waiting).partition(stays);
    if !staying.is_empty() {
        return Ok(staying);
    }
    let active = wave.instances.iter();
    let active: Vec<_> = active
        .filter(|(_, state)| !state.step.is_final() && state.step != Step::Waiting)
        .map(|(name, state)| (name.clone(), state.step))
        .collect();
    if active.is_empty() && !moving.is_empty() {
        let instances = moving.into_iter().map(Into::into).collect();
        return Err(WaitReason::Moving { instances });
    }
    Err(under_way(&active))
}

fn under_way(active: &[(Box<str>, Step)]) -> WaitReason {
    WaitReason::UnderWay {
        instances: active.into(),
    }
}

/// Checks that one more instance may be made unavailable.
fn check_budget(world: &World, pool: &str) -> Result<(), WaitReason> {
    let Some(availability) = world.availability(pool).filter(|found| found.budget > 0) else {
        return Err(WaitReason::NoBudget);
    };
    let names = || {
        let places = world.places_in(pool).map(|(name, _)| name);
        let away = places.filter(|name| world.is_away(name));
        away.map(Into::into).collect()
    };
    if !availability.has_budget_left() {
        return Err(WaitReason::Budget {
            budget: availability.budget,
            away: names(),
        });
    }
    let reserve = largest_rack(world, pool).min(availability.budget - 1);
    let allowed = availability.budget - reserve;
    if availability.away >= allowed {
        return Err(WaitReason::Reserve {
            allowed,
            away: names(),
        });
    }
    Ok(())
}

/// The maximum number of serving instances that the failure of one rack takes from
/// the pool.
fn largest_rack(world: &World, pool: &str) -> u64 {
    let mut racks: IndexMap<_, u64> = IndexMap::new();
    for (name, place) in world.places_in(pool) {
        let serves = place.phase != Phase::Joining && !world.is_away(name);
        if let Some(rack) = rack_of(world, name).filter(|_| serves) {
            *racks.entry(rack).or_default() += 1;
        }
    }
    racks.into_values().max().unwrap_or(0)
}

type Rack<'a> = (cleat_world::DataCentreId, &'a str);

fn rack_of<'a>(world: &'a World, instance: &str) -> Option<Rack<'a>> {
    let instance: &Instance = world.fleet().instances.by_name(instance)?;
    Some((instance.data_centre, &instance.rack))
}

/// The failure domains of the unavailable instances.
struct FailureDomains<'a> {
    away: Vec<Rack<'a>>,
}

impl<'a> FailureDomains<'a> {
    fn of_unavailable(world: &'a World, pool: &str) -> FailureDomains<'a> {
        let places = world.places_in(pool).map(|(name, _)| name);
        let away = places.filter(|name| world.is_away(name));
        let away = away.filter_map(|name| rack_of(world, name)).collect();
        FailureDomains { away }
    }

    /// The sort key of an instance: first those in a rack with an unavailable
    /// instance, then those in such a data centre, then the others. Ties are ordered
    /// by rack, so that one rack is finished before the next.
    fn sort_key(&self, world: &'a World, instance: &str) -> (u8, Option<Rack<'a>>) {
        let rack = rack_of(world, instance);
        let tier = match rack {
            Some(rack) if self.away.contains(&rack) => 0,
            Some((centre, _)) if self.away.iter().any(|(other, _)| *other == centre) => 1,
            _ => 2,
        };
        (tier, rack)
    }
}
