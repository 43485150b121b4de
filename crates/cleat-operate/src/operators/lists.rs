//! Lists of pools, instances and targets.

use std::net::SocketAddr;

use cleat_world::{Phase, Target, World};
use http::StatusCode;
use serde::Serialize;
use serde_json::json;

use super::moves::step_text;
use crate::ControlPlane;
use crate::http::{Answer, from_control, json as json_answer};

#[derive(Serialize)]
struct PoolBody<'a> {
    name: &'a str,
    availability_budget: u64,
    instances: u64,
    away: u64,
    /// Those that have joined and not served yet; they do not count as away.
    joining: u64,
}

#[derive(Serialize)]
struct InstanceBody<'a> {
    name: &'a str,
    pool: &'a str,
    data_centre: &'a str,
    rack: &'a str,
    targets: usize,
    /// How far a move is.
    phase: &'static str,
    /// The pool it moves to.
    moves_to: Option<&'a str>,
    /// How far the wave of the pool is with it.
    maintenance: Option<&'static str>,
}

#[derive(Serialize)]
struct TargetBody<'a> {
    name: &'a str,
    service: &'a str,
    address: SocketAddr,
    instance: &'a str,
    data_centre: &'a str,
    slots: u32,
    connections: u32,
    incarnation: u64,
}

/// `GET /pools`. An instance that has served counts as away while no target
/// runs on it, it leaves the pool, or it is under maintenance.
pub(super) async fn pools<C: ControlPlane>(control: &C) -> Answer {
    read(control, |world| {
        let pools: Vec<_> = pool_bodies(world).collect();
        json_answer(StatusCode::OK, &json!({"pools": pools}))
    })
    .await
}

/// `GET /instances`.
pub(super) async fn instances<C: ControlPlane>(control: &C) -> Answer {
    read(control, |world| {
        let instances: Vec<_> = instance_bodies(world).collect();
        json_answer(StatusCode::OK, &json!({"instances": instances}))
    })
    .await
}

/// `GET /targets`.
pub(super) async fn targets<C: ControlPlane>(control: &C) -> Answer {
    read(control, |world| {
        let targets = world.targets().iter();
        let targets: Vec<_> = targets
            .map(|(name, target)| target_body(name, target))
            .collect();
        json_answer(StatusCode::OK, &json!({"targets": targets}))
    })
    .await
}

async fn read<C: ControlPlane>(control: &C, answer: impl FnOnce(&World) -> Answer) -> Answer {
    match control.catch_up().await {
        Ok(()) => control.world(answer),
        Err(error) => from_control(&error).into_answer(),
    }
}

fn pool_bodies(world: &World) -> impl Iterator<Item = PoolBody<'_>> {
    let pools = world.fleet().pools.iter();
    pools.filter_map(move |(_, name, _)| {
        let found = world.availability(name)?;
        Some(PoolBody {
            name,
            availability_budget: found.budget,
            instances: found.instances,
            away: found.away,
            joining: found.joining,
        })
    })
}

fn instance_bodies(world: &World) -> impl Iterator<Item = InstanceBody<'_>> {
    let fleet = world.fleet();
    let instances = fleet.instances.iter();
    instances.filter_map(move |(_, name, instance)| {
        let place = world.places().get(name)?;
        let wave = world.waves().get(&place.pool);
        Some(InstanceBody {
            name,
            pool: &place.pool,
            data_centre: fleet.data_centres.name(instance.data_centre),
            rack: &instance.rack,
            targets: targets_on(world, name),
            phase: phase_text(&place.phase),
            moves_to: place.phase.destination(),
            maintenance: wave.and_then(|wave| wave.step(name)).map(step_text),
        })
    })
}

fn phase_text(phase: &Phase) -> &'static str {
    match phase {
        Phase::Joining => "joining",
        Phase::Member => "member",
        Phase::Ordered { .. } => "ordered",
        Phase::Leaving { .. } => "leaving",
        Phase::Drained { .. } => "drained",
    }
}

fn targets_on(world: &World, instance: &str) -> usize {
    let targets = world.targets().values();
    let here = |target: &&Target| &*target.announcement.instance == instance;
    targets.filter(here).count()
}

fn target_body<'a>(name: &'a str, target: &'a Target) -> TargetBody<'a> {
    let announcement = &target.announcement;
    TargetBody {
        name,
        service: &announcement.service,
        address: announcement.address,
        instance: &announcement.instance,
        data_centre: &announcement.data_centre,
        slots: announcement.slots,
        connections: announcement.connections,
        incarnation: target.incarnation,
    }
}
