//! Runs one entry without consensus, to measure the request path in isolation.
//!
//! `cargo run --release -p cleat-entry --example alone -- TARGET` serves the
//! service `dock` with the target at the address TARGET and prints the address
//! to send requests to.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;

use cleat_entry::{ClaimError, Control, Entry, EntryConfig, Limits};
use cleat_world::{
    Announce, Announcement, ApplyConfig, ClaimKey, Command, CommandBody, KeyAnswer, ProposedConfig,
    SettleKey, World,
};

const CONFIG: &str = r#"{
    "data_centres": {"dc1": {}},
    "pools": {"runners": {
        "instances": {"r1": {"data_centre": "dc1", "rack": "k1"}},
        "availability_budget": 1
    }},
    "services": {"dock": {"pool": "runners", "deadline_ms": 10000}}
}"#;

/// A control that is always in service but never has a quorum.
struct AlwaysInService;

impl Control for AlwaysInService {
    fn in_service(&self) -> bool {
        true
    }

    async fn claim(&self, _: ClaimKey) -> Result<KeyAnswer, ClaimError> {
        Err(ClaimError::NotClaimed)
    }

    async fn settle(&self, _: SettleKey) -> Result<KeyAnswer, ClaimError> {
        Err(ClaimError::NotClaimed)
    }

    async fn look_up(&self, _: &str, _: u64) -> Result<Option<KeyAnswer>, ClaimError> {
        Err(ClaimError::OutcomeUnknown)
    }
}

fn world(target: SocketAddr) -> World {
    let announcement = Announcement {
        service: "dock".into(),
        address: target,
        instance: "r1".into(),
        data_centre: "dc1".into(),
        slots: 64,
        connections: 256,
    };
    let announce = Announce {
        name: "t1".into(),
        announcement,
    };
    let change = ApplyConfig {
        expect: 0,
        command_id: None,
        config: ProposedConfig::Whole(CONFIG.into()),
    };
    let mut world = World::default();
    let bodies = [
        CommandBody::ApplyConfig(change),
        CommandBody::Announce(announce),
    ];
    for (index, body) in (1..).zip(bodies) {
        world.apply(index, Command { at_ms: 0, body });
    }
    world
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let target = std::env::args().nth(1).ok_or("state a target's address")?;
    let cfg = EntryConfig {
        name: "e1".into(),
        data_centre: "dc1".into(),
        incarnation: 1,
        listen: ([127, 0, 0, 1], 0).into(),
        entries: vec!["e1".into()],
        seed: 7,
        limits: Limits::default(),
    };
    let entry = Entry::bind(cfg, Arc::new(AlwaysInService)).await?;
    entry.update_routes(&world(target.parse()?));
    println!("{{\"address\":\"{}\"}}", entry.local_addr());
    std::future::pending().await
}
