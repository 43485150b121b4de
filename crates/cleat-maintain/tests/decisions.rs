//! Single decisions: the order of instances, the budget, the probation, and the
//! waits of a new leader.

mod support;

use std::time::Duration;

use cleat_maintain::{
    ActionState, Effect, Event, Reconciler, WaitReason, next_instance, wait_reason,
};
use cleat_world::{CommandBody, Step, StepInstance, World};
use support::Sim;

fn fleet(budget: u64) -> Sim {
    let mut sim = Sim::without_faults([budget, 2]);
    sim.start_wave("a");
    sim
}

/// Advances `instance` of pool `a` through these steps.
fn advance(sim: &mut Sim, instance: &str, steps: &[Step]) {
    for pair in steps.windows(2) {
        let wave = sim.world.waves()["a"].id;
        let (pool, instance) = ("a".into(), instance.into());
        sim.apply(CommandBody::StepInstance(StepInstance {
            pool,
            wave,
            instance,
            from: pair[0],
            to: pair[1],
        }));
    }
}

fn step_in(effects: &[Effect], instance: &str) -> Option<Step> {
    effects.iter().find_map(|effect| match effect {
        Effect::Propose(CommandBody::StepInstance(step)) if &*step.instance == instance => {
            Some(step.to)
        }
        _ => None,
    })
}

#[test]
fn next_instance_prefers_rack_of_unavailable_instances() {
    let mut sim = fleet(6);
    advance(&mut sim, "i3", &[Step::Waiting, Step::Draining]);
    // i2 is in the rack of i3. Once a rack is done, an instance in the same data
    // centre is next.
    assert_eq!(next_instance(&sim.world, "a"), Ok("i2"));
    let mut sim = fleet(6);
    advance(&mut sim, "i6", &[Step::Waiting, Step::Draining]);
    assert_eq!(next_instance(&sim.world, "a"), Ok("i7"));
    advance(&mut sim, "i7", &[Step::Waiting, Step::Draining]);
    assert_eq!(next_instance(&sim.world, "a"), Ok("i0"));
}

#[test]
fn next_instance_prefers_unavailable_instance() {
    let mut sim = fleet(1);
    sim.fail_rack(2, Duration::from_secs(100));
    sim.run_second();
    assert_eq!(next_instance(&sim.world, "a"), Ok("i5"));
}

#[test]
fn wait_reason_lists_unavailable_instances() {
    let mut sim = fleet(1);
    advance(&mut sim, "i0", &[Step::Waiting, Step::Draining]);
    let budget = WaitReason::Budget {
        budget: 1,
        away: ["i0".into()].into(),
    };
    assert_eq!(wait_reason(&sim.world, "a"), Some(budget));
    let mut sim = fleet(3);
    advance(&mut sim, "i0", &[Step::Waiting, Step::Draining]);
    let reserve = WaitReason::Reserve {
        allowed: 1,
        away: ["i0".into()].into(),
    };
    assert_eq!(wait_reason(&sim.world, "a"), Some(reserve));
    assert_eq!(wait_reason(&sim.world, "b"), None);
}

#[test]
fn probation_restarts_after_interruption() {
    let mut sim = fleet(2);
    let to_probation = [
        Step::Waiting,
        Step::Draining,
        Step::Rebooting,
        Step::Probation,
    ];
    advance(&mut sim, "i0", &to_probation);
    let mut leader = Reconciler::default();
    let mut at = |world: &World, s: u64| {
        let effects = leader.handle(Event::Tick, world, Duration::from_secs(s));
        step_in(&effects, "i0")
    };
    sim.run_second();
    assert!(sim.world.has_target("i0"));
    assert_eq!(at(&sim.world, 1), None);
    assert_eq!(at(&sim.world, 5), None);
    // Unavailable at 6 s and back at 7 s: the time served is interrupted.
    sim.fail_rack(0, Duration::from_secs(1_000));
    sim.run_second();
    assert!(!sim.world.has_target("i0"));
    assert_eq!(at(&sim.world, 6), None);
    sim.fail_rack(0, Duration::ZERO);
    sim.run_second();
    assert_eq!(at(&sim.world, 7), None);
    assert_eq!(at(&sim.world, 11), None);
    assert_eq!(at(&sim.world, 12), Some(Step::Done));
}

#[test]
fn drain_restarts_its_wait_under_new_leader() {
    let mut sim = fleet(2);
    advance(&mut sim, "i0", &[Step::Waiting, Step::Draining]);
    let epoch = sim.world.waves()["a"].instances["i0"].epoch;
    let report_drained = |leader: &mut Reconciler, s: u64| {
        let now = Duration::from_secs(s);
        let in_force = Event::InForce { index: epoch };
        leader.handle(in_force, &sim.world, now);
        let effects = leader.handle(Event::Tick, &sim.world, now);
        for effect in effects {
            if let Effect::RunAction(token) = effect {
                let state = ActionState::Done;
                leader.handle(Event::Reported { token, state }, &sim.world, now);
            }
        }
    };
    let next_step = |leader: &mut Reconciler, s: u64| {
        let effects = leader.handle(Event::Tick, &sim.world, Duration::from_secs(s));
        step_in(&effects, "i0")
    };
    let mut first = Reconciler::default();
    assert_eq!(next_step(&mut first, 0), None);
    report_drained(&mut first, 1);
    assert_eq!(next_step(&mut first, 12), None);
    let mut second = Reconciler::default();
    assert_eq!(next_step(&mut second, 12), None);
    report_drained(&mut second, 12);
    assert_eq!(next_step(&mut second, 23), None);
    assert_eq!(next_step(&mut second, 24), Some(Step::Rebooting));
    assert_eq!(next_step(&mut first, 13), Some(Step::Rebooting));
}
