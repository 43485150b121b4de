//! Maintenance waves: the steps that `World::apply` refuses, and the budget.

#[allow(dead_code)]
mod support;

use cleat_world::{CommandBody, MoveAnswer, PauseWave, ResumeWave, Step, TargetAnswer, WaveAnswer};
use support::{Fixture, config};

const CYCLE: [Step; 5] = [
    Step::Waiting,
    Step::Draining,
    Step::Rebooting,
    Step::Probation,
    Step::Done,
];

#[test]
fn wave_step_over_budget_is_refused() {
    let mut f = Fixture::serving(4, 2, 1);
    f.start_wave("a");
    assert!(matches!(
        f.step("a1", CYCLE[0], CYCLE[1]),
        WaveAnswer::Stepped { .. }
    ));
    let over = WaveAnswer::OverBudget { away: 1, budget: 1 };
    assert_eq!(f.step("a2", CYCLE[0], CYCLE[1]), over);
    let refused = f.move_to("a2", "b", None);
    assert!(matches!(refused, MoveAnswer::OverBudget { .. }));
    let busy = MoveAnswer::InMaintenance {
        step: Step::Draining,
    };
    assert_eq!(f.move_to("a1", "b", None), busy);
}

#[test]
fn wave_instance_counts_as_away_until_it_is_done() {
    let mut f = Fixture::serving(3, 2, 1);
    f.start_wave("a");
    for pair in CYCLE.windows(2) {
        assert!(matches!(
            f.step("a1", pair[0], pair[1]),
            WaveAnswer::Stepped { .. }
        ));
        let done = pair[1] == Step::Done;
        assert_eq!(f.away("a"), u64::from(!done), "{pair:?}");
        let serves = f.serving_names().contains(&"a1");
        match pair[1] {
            Step::Rebooting => {
                assert_eq!(f.announce("a1"), TargetAnswer::InstanceAway);
                assert!(!serves);
            }
            Step::Probation => f.announce_accepted("a1"),
            step => assert_eq!(serves, step == Step::Done, "{pair:?}"),
        }
    }
    // Outdated and repeated steps change nothing.
    for pair in CYCLE.windows(2) {
        assert_eq!(f.step("a1", pair[0], pair[1]), WaveAnswer::Stale);
    }
    assert_eq!(f.step("a2", Step::Waiting, Step::Done), WaveAnswer::Stale);
}

#[test]
fn wave_paused_starts_no_further_instance() {
    let mut f = Fixture::serving(4, 2, 2);
    let pool: Box<str> = "a".into();
    let pause = |id: &str| {
        CommandBody::PauseWave(PauseWave {
            pool: pool.clone(),
            command_id: Some(id.into()),
        })
    };
    assert_eq!(f.run_wave_command(pause("p-0")), WaveAnswer::NoWave);
    let WaveAnswer::Started { wave } = f.start_wave("a") else {
        panic!("not started");
    };
    assert_eq!(f.start_wave("a"), WaveAnswer::InProgress { wave });
    f.step("a1", CYCLE[0], CYCLE[1]);
    assert_eq!(f.run_wave_command(pause("p-1")), WaveAnswer::Paused);
    assert_eq!(f.step("a2", CYCLE[0], CYCLE[1]), WaveAnswer::Stale);
    assert!(matches!(
        f.step("a1", CYCLE[1], CYCLE[2]),
        WaveAnswer::Stepped { .. }
    ));
    f.run_wave_command(CommandBody::ResumeWave(ResumeWave {
        pool: pool.clone(),
        command_id: None,
    }));
    // The repeated pause gets its first answer and does not pause the wave again.
    assert_eq!(f.run_wave_command(pause("p-1")), WaveAnswer::Paused);
    assert!(matches!(
        f.step("a2", CYCLE[0], CYCLE[1]),
        WaveAnswer::Stepped { .. }
    ));
}

#[test]
fn wave_needs_a_pool_and_a_platform() {
    let mut f = Fixture::serving(3, 2, 1);
    assert_eq!(f.start_wave("z"), WaveAnswer::UnknownPool);
    let mut without = config(3, 2, 1);
    without["platform"] = serde_json::Value::Null;
    f.config(&without);
    assert_eq!(f.start_wave("a"), WaveAnswer::NoPlatform);
}

#[test]
fn wave_excludes_instances_that_move_away() {
    let mut f = Fixture::serving(3, 2, 1);
    f.move_to("a1", "b", None);
    f.start_wave("a");
    assert_eq!(f.step("a1", CYCLE[0], CYCLE[1]), WaveAnswer::Stale);
    f.advance("a1", support::drained("b"));
    f.advance("a1", cleat_world::Phase::Joining);
    assert_eq!(f.world.waves()["a"].instances.len(), 2);
    f.config(&config(0, 2, 0));
    assert!(f.world.waves()["a"].has_ended());
}
