//! Moves of instances between pools: each instance always belongs to exactly one pool.

#[allow(dead_code)]
mod support;

use cleat_world::{ConfigAnswer, MoveAnswer, Phase, TargetAnswer, World};
use serde_json::json;
use support::{Fixture, accepted, config, drained, leaving};

#[test]
fn move_goes_through_every_phase() {
    let mut f = Fixture::serving(3, 3, 1);
    assert!(matches!(
        f.move_to("a1", "b", None),
        MoveAnswer::Moving { .. }
    ));
    // A leaving instance gets no new requests, and its announcements are rejected.
    assert!(!f.serving_names().contains(&"a1"));
    assert_eq!(f.announce("a1"), TargetAnswer::InstanceAway);
    assert_eq!((f.away("a"), f.away("b")), (1, 0));
    f.advance("a1", drained("b"));
    assert_eq!(&*f.world.places()["a1"].pool, "a");
    f.advance("a1", Phase::Joining);
    assert_eq!(&*f.world.places()["a1"].pool, "b");
    assert_eq!((f.away("a"), f.away("b")), (0, 0));
    f.announce_accepted("a1");
    assert_eq!(f.world.places()["a1"].phase, Phase::Member);
    assert_eq!(
        f.world.availability("b").map(|found| found.instances),
        Some(4)
    );
    let copy = World::restore(&f.world.snapshot()).expect("a snapshot");
    assert_eq!(copy.places(), f.world.places());
}

#[test]
fn move_over_budget_is_refused() {
    let mut f = Fixture::serving(3, 3, 1);
    f.withdraw_target("a2");
    let refused = MoveAnswer::OverBudget {
        pool: "a".into(),
        away: 1,
        budget: 1,
    };
    assert_eq!(f.move_to("a1", "b", None), refused);
    // Moving an instance that is already away does not make another one away.
    assert!(matches!(
        f.move_to("a2", "b", None),
        MoveAnswer::Moving { .. }
    ));
}

/// Also checks that a repeated command id gets the first answer.
#[test]
fn move_refusals_are_typed() {
    let mut f = Fixture::serving(3, 3, 2);
    assert_eq!(f.move_to("a9", "b", None), MoveAnswer::UnknownInstance);
    assert_eq!(f.move_to("a1", "z", None), MoveAnswer::UnknownPool);
    assert_eq!(f.move_to("a1", "a", None), MoveAnswer::AlreadyThere);
    let first = f.move_to("a1", "b", Some("id-1"));
    assert_eq!(f.move_to("a1", "b", None), first);
    let under_way = MoveAnswer::MoveInProgress { to: "b".into() };
    assert_eq!(f.move_to("a1", "a", None), under_way);
    // A repeated command id gets the first answer, even though the phase has changed.
    f.advance("a1", drained("b"));
    assert_eq!(f.move_to("a1", "b", Some("id-1")), first);
}

#[test]
fn advance_from_an_earlier_epoch_is_stale() {
    let mut f = Fixture::serving(3, 3, 2);
    f.move_to("a1", "b", None);
    let epoch = f.world.places()["a1"].epoch;
    for to in ["b", "a"] {
        f.move_to("a1", to, None);
        f.advance("a1", drained(to));
        f.advance("a1", Phase::Joining);
    }
    f.move_to("a1", "b", None);
    // A leader that was paused proposes this command in the epoch of the first move,
    // which had the same destination.
    let late = f.advance_from("a1", epoch, drained("b"));
    assert_eq!(late, MoveAnswer::Stale);
    assert_eq!(f.world.places()["a1"].phase, leaving("b"));
    // A phase cannot be skipped.
    assert_eq!(f.advance("a1", Phase::Joining), MoveAnswer::Stale);
}

#[test]
fn config_pool_change_orders_a_move() {
    let mut f = Fixture::serving(3, 3, 1);
    let mut changed = config(3, 3, 1);
    for name in ["a1", "a2"] {
        let instance = changed["pools"]["a"]["instances"]
            .as_object_mut()
            .and_then(|instances| instances.shift_remove(name));
        changed["pools"]["b"]["instances"][name] = instance.expect("an instance");
    }
    assert_eq!(f.config(&changed), accepted(2));
    // Both moves wait for the budget, and both instances serve until then.
    assert_eq!(f.away("a"), 0);
    assert_eq!(f.serving_names().len(), 6);
    assert!(matches!(
        f.advance("a1", leaving("b")),
        MoveAnswer::Moving { .. }
    ));
    assert!(matches!(
        f.advance("a2", leaving("b")),
        MoveAnswer::OverBudget { .. }
    ));
    // With the old configuration again, a2, which has not left, stays; a1, which is
    // leaving, gets its old pool as its destination.
    f.config(&config(3, 3, 1));
    assert_eq!(f.world.places()["a2"].phase, Phase::Member);
    assert_eq!(f.world.places()["a1"].phase, leaving("a"));
}

/// An instance is joining its pool until its first target there is accepted.
#[test]
fn config_pool_change_is_immediate_before_the_first_target() {
    let mut f = Fixture::serving(3, 3, 1);
    // Without its target, a1 counts as away: the budget of pool a is used up.
    f.withdraw_target("a1");
    let declared = |name: &str, pool: &str| {
        let mut config = config(3, 3, 1);
        config["pools"][pool]["instances"][name] = json!({"data_centre": "dc1", "rack": "k"});
        config
    };
    f.config(&declared("c1", "a"));
    // c1 changes pools twice without ever counting as away; only a1 does.
    for pool in ["b", "a"] {
        assert!(matches!(
            f.config(&declared("c1", pool)),
            ConfigAnswer::Accepted { .. }
        ));
        let place = &f.world.places()["c1"];
        assert_eq!((&*place.pool, &place.phase), (pool, &Phase::Joining));
        assert_eq!((f.away("a"), f.away("b")), (1, 0));
    }
}

#[test]
fn config_pool_removal_returns_instances_to_configured_pools() {
    let mut f = Fixture::serving(3, 3, 1);
    f.move_to("a1", "b", None);
    f.advance("a1", drained("b"));
    f.advance("a1", Phase::Joining);
    f.announce_accepted("a1");
    f.move_to("a2", "b", None);
    let mut without = config(3, 3, 1);
    for (group, name) in [("pools", "b"), ("services", "serve-b")] {
        let group = without[group].as_object_mut().expect("an object");
        group.shift_remove(name);
    }
    assert_eq!(f.config(&without), accepted(2));
    assert_eq!(f.world.places().len(), 3);
    let places = f.world.places().values();
    assert!(
        places
            .clone()
            .all(|place| &*place.pool == "a" && place.phase.accepts_targets())
    );
    // The budget still covers a2, which had not left pool a and has no target now.
    assert_eq!(f.away("a"), 1);
    f.announce_accepted("a1");
    f.announce_accepted("a2");
    assert_eq!(f.away("a"), 0);
}

#[test]
fn config_over_a_budget_is_refused() {
    let mut f = Fixture::serving(3, 3, 1);
    f.withdraw_target("a1");
    let refused = ConfigAnswer::OverBudget {
        pool: "a".into(),
        away: 1,
        budget: 0,
    };
    assert_eq!(f.config(&config(3, 3, 0)), refused);
    assert_eq!(f.world.version(), 1);
    // A service that changes pools makes the place of each of its targets invalid:
    // they run on instances of its previous pool.
    f.announce_accepted("a1");
    let mut swapped = config(3, 3, 1);
    swapped["services"]["serve-a"]["pool"] = "b".into();
    assert!(matches!(
        f.config(&swapped),
        ConfigAnswer::OverBudget { away: 3, .. }
    ));
    assert_eq!(f.config(&config(3, 3, 0)), accepted(2));
}
