//! Lists of pools, instances and targets.

use std::net::SocketAddr;

use cleat_world::{Target, World};
use http::StatusCode;
use serde::Serialize;
use serde_json::json;

use crate::ControlPlane;
use crate::http::{Answer, from_control, json as json_answer};

#[derive(Serialize)]
struct PoolBody<'a> {
    name: &'a str,
    availability_budget: u64,
    instances: usize,
    away: usize,
}

#[derive(Serialize)]
struct InstanceBody<'a> {
    name: &'a str,
    pool: &'a str,
    data_centre: &'a str,
    rack: &'a str,
    targets: usize,
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

/// `GET /pools`. An instance counts as away while no target runs on it.
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
    let fleet = world.fleet();
    fleet.pools.iter().map(move |(_, name, pool)| {
        let names = pool.instances.iter().map(|id| fleet.instances.name(*id));
        let away = names.filter(|name| targets_on(world, name) == 0).count();
        PoolBody {
            name,
            availability_budget: pool.availability_budget,
            instances: pool.instances.len(),
            away,
        }
    })
}

fn instance_bodies(world: &World) -> impl Iterator<Item = InstanceBody<'_>> {
    let fleet = world.fleet();
    fleet
        .instances
        .iter()
        .map(move |(_, name, instance)| InstanceBody {
            name,
            pool: fleet.pools.name(instance.pool),
            data_centre: fleet.data_centres.name(instance.data_centre),
            rack: &instance.rack,
            targets: targets_on(world, name),
        })
}

fn targets_on(world: &World, instance: &str) -> usize {
    let targets = world.targets().values();
    let here = |target: &&Target| &*target.announcement.instance == instance;
    targets.filter(here).count()
}

fn target_body<'a>(name: &'a str, target: &'a Target) -> TargetBody<'a> {
    let said = &target.announcement;
    TargetBody {
        name,
        service: &said.service,
        address: said.address,
        instance: &said.instance,
        data_centre: &said.data_centre,
        slots: said.slots,
        connections: said.connections,
        incarnation: target.incarnation,
    }
}
