//! One pool for each instance, always.

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
    // Nothing new is sent to it, and it announces nothing.
    assert!(!f.serving_names().contains(&"a1"));
    assert_eq!(f.announce("a1"), TargetAnswer::InstanceAway);
    assert_eq!((f.away("a"), f.away("b")), (1, 0));
    f.advance("a1", drained("b"));
    assert_eq!(&*f.world.places()["a1"].pool, "a");
    f.advance("a1", Phase::Joining);
    assert_eq!(&*f.world.places()["a1"].pool, "b");
    assert_eq!((f.away("a"), f.away("b")), (0, 0));
    f.announced("a1");
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
    f.fail("a2");
    let refused = MoveAnswer::OverBudget {
        pool: "a".into(),
        away: 1,
        budget: 1,
    };
    assert_eq!(f.move_to("a1", "b", None), refused);
    // The one that is away already makes no other away.
    assert!(matches!(
        f.move_to("a2", "b", None),
        MoveAnswer::Moving { .. }
    ));
}

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
    // The same id gets the first answer, whatever became of it since.
    f.advance("a1", drained("b"));
    assert_eq!(f.move_to("a1", "b", Some("id-1")), first);
}

#[test]
fn advance_late_changes_nothing() {
    let mut f = Fixture::serving(3, 3, 2);
    f.move_to("a1", "b", None);
    let epoch = f.world.places()["a1"].epoch;
    for to in ["b", "a"] {
        f.move_to("a1", to, None);
        f.advance("a1", drained(to));
        f.advance("a1", Phase::Joining);
    }
    f.move_to("a1", "b", None);
    // A leader that was frozen meanwhile decided this in the first move,
    // which went to the same pool.
    let late = f.advance_from("a1", epoch, drained("b"));
    assert_eq!(late, MoveAnswer::Stale);
    assert_eq!(f.world.places()["a1"].phase, leaving("b"));
    // A phase cannot be left out.
    assert_eq!(f.advance("a1", Phase::Joining), MoveAnswer::Stale);
}

#[test]
fn config_home_declared_anew_orders_a_move() {
    let mut f = Fixture::serving(3, 3, 1);
    let mut changed = config(3, 3, 1);
    for name in ["a1", "a2"] {
        let instance = changed["pools"]["a"]["instances"]
            .as_object_mut()
            .and_then(|instances| instances.shift_remove(name));
        changed["pools"]["b"]["instances"][name] = instance.expect("an instance");
    }
    assert_eq!(f.config(&changed), accepted(2));
    // Both wait for room; both serve meanwhile.
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
    // Declared back: the one that has not left stays.
    f.config(&config(3, 3, 1));
    assert_eq!(f.world.places()["a2"].phase, Phase::Member);
    assert_eq!(f.world.places()["a1"].phase, leaving("a"));
}

#[test]
fn config_home_of_one_that_never_served_changes_at_once() {
    let mut f = Fixture::serving(3, 3, 1);
    f.fail("a1");
    let declared = |name: &str, pool: &str| {
        let mut config = config(3, 3, 1);
        config["pools"][pool]["instances"][name] = json!({"data_centre": "dc1", "rack": "k"});
        config
    };
    f.config(&declared("c1", "a"));
    // It moves, and moves back, without ever counting as away.
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
fn config_pool_withdrawn_sends_its_instances_home() {
    let mut f = Fixture::serving(3, 3, 1);
    f.move_to("a1", "b", None);
    f.advance("a1", drained("b"));
    f.advance("a1", Phase::Joining);
    f.announced("a1");
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
    // The one that had not left yet is still promised, and is missing.
    assert_eq!(f.away("a"), 1);
    f.announced("a1");
    f.announced("a2");
    assert_eq!(f.away("a"), 0);
}

#[test]
fn config_that_breaks_a_budget_now_is_refused() {
    let mut f = Fixture::serving(3, 3, 1);
    f.fail("a1");
    let refused = ConfigAnswer::OverBudget {
        pool: "a".into(),
        away: 1,
        budget: 0,
    };
    assert_eq!(f.config(&config(3, 3, 0)), refused);
    assert_eq!(f.world.version(), 1);
    // A service that changes pools takes every target's place away.
    f.announced("a1");
    let mut swapped = config(3, 3, 1);
    swapped["services"]["serve-a"]["pool"] = "b".into();
    assert!(matches!(
        f.config(&swapped),
        ConfigAnswer::OverBudget { away: 3, .. }
    ));
    assert_eq!(f.config(&config(3, 3, 0)), accepted(2));
}
