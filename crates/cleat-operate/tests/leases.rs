//! The leases of targets.

use std::time::Duration;

use cleat_operate::{LapsedLease, LeaseTable};
use cleat_world::{
    Announce, Announcement, ApplyConfig, Command, CommandBody, ProposedConfig, World,
};

const CONFIG: &str = r#"{"data_centres": {"dc1": {}},
  "pools": {"p": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"}}}},
  "services": {"dock": {"pool": "p"}}, "targets": {"lease_ms": 1000}}"#;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn announce(world: &mut World, index: u64, port: u16) {
    let body = CommandBody::Announce(Announce {
        name: "t1".into(),
        announcement: Announcement {
            service: "dock".into(),
            address: ([127, 0, 0, 1], port).into(),
            instance: "r1".into(),
            data_centre: "dc1".into(),
            slots: 8,
            connections: 64,
        },
    });
    world.apply(index, Command { at_ms: 0, body });
}

fn world() -> World {
    let mut world = World::default();
    let body = CommandBody::ApplyConfig(ApplyConfig {
        expect: 0,
        command_id: None,
        config: ProposedConfig::Whole(CONFIG.into()),
    });
    world.apply(1, Command { at_ms: 0, body });
    announce(&mut world, 2, 9001);
    world
}

fn lapsed(incarnation: u64) -> Vec<LapsedLease> {
    let name = "t1".into();
    vec![LapsedLease { name, incarnation }]
}

#[test]
fn lease_lapses_without_renewal() {
    let mut table = LeaseTable::default();
    table.sync(&world(), ms(0));
    assert_eq!(table.lapsed(ms(999)), []);
    assert!(table.renew("t1", 2, ms(900)));
    table.sync(&world(), ms(950));
    assert_eq!(table.lapsed(ms(1_899)), []);
    assert_eq!(table.lapsed(ms(1_900)), lapsed(2));
}

#[test]
fn lease_of_an_earlier_announcement_is_not_renewed() {
    let mut world = world();
    let mut table = LeaseTable::default();
    table.sync(&world, ms(0));
    announce(&mut world, 3, 9002);
    table.sync(&world, ms(800));
    assert!(!table.renew("t1", 2, ms(900)));
    assert_eq!(table.lapsed(ms(1_799)), []);
    assert_eq!(table.lapsed(ms(1_800)), lapsed(3));
}

#[test]
fn lease_starts_full_at_a_new_leader() {
    let mut table = LeaseTable::default();
    table.sync(&world(), ms(0));
    table.clear();
    table.sync(&world(), ms(5_000));
    assert_eq!(table.lapsed(ms(5_999)), []);
}
