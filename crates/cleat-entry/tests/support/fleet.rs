//! A replicated state and the entries that use it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cleat_entry::{Entry, EntryConfig, Limits};
use cleat_world::{
    Announce, Announcement, Answer, ApplyConfig, Command, CommandBody, ConfigAnswer,
    ProposedConfig, TargetAnswer, Withdraw, WithdrawCause, World,
};
use serde_json::{Value, json};

use super::{FakeControl, Target};

pub struct Fleet {
    pub world: World,
    index: u64,
}

impl Fleet {
    /// A fleet with one service `dock`, whose configuration is `terms` merged
    /// into a deadline of two seconds.
    pub fn new(terms: Value) -> Fleet {
        let mut fleet = Fleet {
            world: World::default(),
            index: 0,
        };
        fleet.configure(&[("dock", terms)]);
        fleet
    }

    pub fn configure(&mut self, services: &[(&str, Value)]) {
        let mut stated = json!({});
        for (name, terms) in services {
            let base = json!({"pool": "runners", "deadline_ms": 2000});
            stated[*name] = cleat_world::merge(base, terms);
        }
        let config = json!({
            "data_centres": {"dc1": {}},
            "pools": {"runners": {
                "instances": {"r1": {"data_centre": "dc1", "rack": "k1"}},
                "availability_budget": 1
            }},
            "services": stated
        });
        let change = ApplyConfig {
            expect: self.world.version(),
            command_id: None,
            config: ProposedConfig::Whole(config.to_string().into()),
        };
        let answer = self.apply(CommandBody::ApplyConfig(change));
        assert!(
            matches!(answer, Answer::Config(ConfigAnswer::Accepted { .. })),
            "{answer:?}"
        );
    }

    pub fn announce(&mut self, name: &str, address: SocketAddr, slots: u32) {
        let announcement = Announcement {
            service: "dock".into(),
            address,
            instance: "r1".into(),
            data_centre: "dc1".into(),
            slots,
            connections: 64,
        };
        let name = name.into();
        let announce = Announce { name, announcement };
        let answer = self.apply(CommandBody::Announce(announce));
        let announced = matches!(answer, Answer::Target(TargetAnswer::Announced { .. }));
        assert!(announced, "{answer:?}");
    }

    pub fn withdraw(&mut self, name: &str) {
        let cause = WithdrawCause::Left;
        let name = name.into();
        self.apply(CommandBody::Withdraw(Withdraw { name, cause }));
    }

    /// A fleet with one service and the targets `t0`, `t1`…
    pub fn with_targets(terms: Value, targets: &[&Target], slots: u32) -> Fleet {
        let mut fleet = Fleet::new(terms);
        for (i, target) in targets.iter().enumerate() {
            fleet.announce(&format!("t{i}"), target.address, slots);
        }
        fleet
    }

    fn apply(&mut self, body: CommandBody) -> Answer {
        self.index += 1;
        let at_ms = self.index;
        self.world.apply(self.index, Command { at_ms, body })
    }
}

/// Limits for tests: draining takes no delay.
pub fn limits() -> Limits {
    Limits {
        drain_delay: Duration::ZERO,
        ..Limits::default()
    }
}

/// A single entry, which is in service.
pub async fn entry(fleet: &Fleet) -> (Entry<FakeControl>, Arc<FakeControl>) {
    let control = Arc::new(FakeControl::default());
    let entry = entry_with(fleet, Arc::clone(&control), "e1", &["e1"], limits()).await;
    (entry, control)
}

pub async fn entry_with(
    fleet: &Fleet,
    control: Arc<FakeControl>,
    name: &str,
    entries: &[&str],
    limits: Limits,
) -> Entry<FakeControl> {
    let cfg = EntryConfig {
        name: name.into(),
        data_centre: "dc1".into(),
        incarnation: 1,
        listen: ([127, 0, 0, 1], 0).into(),
        entries: entries.iter().copied().map(Box::from).collect(),
        seed: 7,
        limits,
    };
    let entry = Entry::bind(cfg, control).await.unwrap();
    entry.update_routes(&fleet.world);
    entry
}
