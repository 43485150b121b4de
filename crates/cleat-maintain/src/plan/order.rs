//! Which instance a wave takes next.

use cleat_world::{Instance, Phase, Step, Wave, World};
use indexmap::IndexMap;

use super::WaitReason;

/// The instance that the wave of `pool` takes next.
///
/// Beside the budget itself, room is left for the loss of the rack with most
/// serving instances, as far as the budget allows that at all: at least one
/// instance may be taken. Instances are taken rack by rack, so that those away
/// at once share failure domains.
///
/// # Errors
/// What the wave waits for.
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
    // Whatever is away already costs nothing further.
    if let Some(name) = candidates.iter().find(|name| world.is_away(name)) {
        return Ok(name);
    }
    check_room(world, pool)?;
    let domains = Domains::of_away(world, pool);
    let closest = candidates
        .into_iter()
        .min_by_key(|name| domains.distance(world, name));
    closest.ok_or_else(|| under_way(&[]))
}

/// The instances that were not begun and stay in the pool.
fn candidates<'a>(world: &'a World, wave: &'a Wave) -> Result<Vec<&'a str>, WaitReason> {
    let of = |wanted: Step| {
        let states = wave.instances.iter();
        let found = states.filter(move |(_, state)| state.step == wanted);
        found.map(|(name, _)| &**name)
    };
    let stays = |name: &&str| {
        let place = world.places().get(*name);
        place.is_some_and(|place| matches!(place.phase, Phase::Joining | Phase::Member))
    };
    let (staying, moving): (Vec<_>, Vec<_>) = of(Step::Waiting).partition(stays);
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

/// Whether one more instance may be away by choice.
fn check_room(world: &World, pool: &str) -> Result<(), WaitReason> {
    let Some(found) = world.availability(pool).filter(|found| found.budget > 0) else {
        return Err(WaitReason::NoBudget);
    };
    let names = || {
        let places = world.places_in(pool).map(|(name, _)| name);
        let away = places.filter(|name| world.is_away(name));
        away.map(Into::into).collect()
    };
    if !found.has_room() {
        return Err(WaitReason::Budget {
            budget: found.budget,
            away: names(),
        });
    }
    let reserve = worst_rack(world, pool).min(found.budget - 1);
    let allowed = found.budget - reserve;
    if found.away >= allowed {
        return Err(WaitReason::Reserve {
            allowed,
            away: names(),
        });
    }
    Ok(())
}

/// How many serving instances the pool loses at most with one rack.
fn worst_rack(world: &World, pool: &str) -> u64 {
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

/// Where the instances that are away stand.
struct Domains<'a> {
    away: Vec<Rack<'a>>,
}

impl<'a> Domains<'a> {
    fn of_away(world: &'a World, pool: &str) -> Domains<'a> {
        let places = world.places_in(pool).map(|(name, _)| name);
        let away = places.filter(|name| world.is_away(name));
        let away = away.filter_map(|name| rack_of(world, name)).collect();
        Domains { away }
    }

    /// Smallest for an instance in a rack that lacks one already, then for
    /// one in such a data centre; otherwise by rack, so that a rack is gone
    /// through before the next.
    fn distance(&self, world: &'a World, instance: &str) -> (u8, Option<Rack<'a>>) {
        let rack = rack_of(world, instance);
        let near = match rack {
            Some(rack) if self.away.contains(&rack) => 0,
            Some((centre, _)) if self.away.iter().any(|(other, _)| *other == centre) => 1,
            _ => 2,
        };
        (near, rack)
    }
}
