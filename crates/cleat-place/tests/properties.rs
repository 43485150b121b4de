//! What holds for every schedule of jobs and faults.

use std::time::Duration;

use cleat_place::{
    JobId, JobSpec, JobView, Priority, Protections, Size, Terms, WaitReason, WorkerSpec,
};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

use platform::{Platform, Truth};

#[allow(dead_code)]
#[path = "../examples/measure/carry.rs"]
mod carry;
#[allow(dead_code)]
#[path = "../examples/measure/platform.rs"]
mod platform;
#[path = "../examples/measure/watch.rs"]
mod watch;

const TEAMS: [&str; 3] = ["velamar", "vuorela", "harbour"];
const WORKERS: usize = 5;
/// Longer than any job, backoff, quarantine and move takes together.
const QUIET: Duration = Duration::from_secs(1500);

#[derive(Debug, Clone)]
enum Action {
    Submit(Submission),
    Cancel(usize),
    Cut(usize),
    Heal(usize),
    Restart(usize),
    Withdraw(usize),
    Pass(u64),
}

#[derive(Debug, Clone)]
struct Submission {
    team: usize,
    class: usize,
    declared: Size,
    /// Real use in quarters of what is declared: a factor of four either way.
    quarters: u32,
    run_s: u64,
    expected_s: u64,
    urgent: bool,
    checkpointable: bool,
    fails: bool,
}

fn submission() -> impl Strategy<Value = Submission> {
    let declared = (1..=36u32, 1..=150u32, 0..=2u32).prop_map(|(cpu, gb, accelerators)| Size {
        processors: cpu * 1000,
        memory: gb * 1024,
        accelerators: accelerators / 2,
    });
    let flags = (
        prop::bool::weighted(0.2),
        any::<bool>(),
        prop::bool::weighted(0.1),
    );
    let times = (5..90u64, 5..90u64);
    let rest = (0..TEAMS.len(), 0..3usize, 1..=16u32);
    (declared, flags, times, rest).prop_map(|(declared, flags, times, rest)| Submission {
        team: rest.0,
        class: rest.1,
        declared,
        quarters: rest.2,
        run_s: times.0,
        expected_s: times.1,
        urgent: flags.0,
        checkpointable: flags.1,
        fails: flags.2,
    })
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => submission().prop_map(Action::Submit),
        1 => (0..30usize).prop_map(Action::Cancel),
        1 => (0..WORKERS).prop_map(Action::Cut),
        2 => (0..WORKERS).prop_map(Action::Heal),
        1 => (0..WORKERS).prop_map(Action::Restart),
        // The first worker stays, so that what fitted it still does.
        1 => (1..WORKERS).prop_map(Action::Withdraw),
        6 => (1..40u64).prop_map(Action::Pass),
    ]
}

fn platform(protections: Protections) -> Platform {
    let terms = Terms {
        protections,
        ..Terms::default()
    };
    let mut platform = Platform::new(terms, 11);
    platform.team(TEAMS[0], None);
    platform.team(TEAMS[1], None);
    let quota = Size {
        processors: 40_000,
        memory: 160 * 1024,
        accelerators: 1,
    };
    platform.team(TEAMS[2], Some(quota));
    for index in 0..WORKERS {
        let spec = WorkerSpec {
            name: format!("w{index}").into(),
            data_centre: "dc1".into(),
            rack: format!("k{}", index / 2).into(),
            capacity: Size {
                processors: 32_000,
                memory: 128 * 1024,
                accelerators: 2 * u32::from(index < 2),
            },
            incarnation: 1,
        };
        platform.worker(spec, false);
    }
    platform
}

fn submit(platform: &mut Platform, number: usize, job: &Submission) {
    let Some(team) = platform.placement.team(TEAMS[job.team]) else {
        return;
    };
    let used = job.declared.parts().map(|part| part * job.quarters / 4);
    // No job outgrows every machine: such a one can only ever fail.
    let used = Size::from_parts(used).min(Size {
        processors: 32_000,
        memory: 128 * 1024,
        accelerators: job.declared.accelerators,
    });
    let spec = JobSpec {
        name: format!("j{number}").into(),
        team,
        class: format!("c{}", job.class).into(),
        declared: job.declared,
        priority: if job.urgent {
            Priority::Urgent
        } else {
            Priority::Normal
        },
        checkpointable: job.checkpointable,
        expected_run: Duration::from_secs(job.expected_s),
    };
    let truth = Truth {
        used,
        run: Duration::from_secs(job.run_s),
        fails: job.fails,
        checkpointable: job.checkpointable,
    };
    platform.submit(spec, truth);
}

fn act(platform: &mut Platform, number: usize, action: &Action) {
    match action {
        Action::Submit(job) => submit(platform, number, job),
        Action::Cancel(job) => platform.cancel(&format!("j{job}")),
        Action::Cut(worker) => platform.set_cut(&format!("w{worker}"), true),
        Action::Heal(worker) => platform.set_cut(&format!("w{worker}"), false),
        Action::Restart(worker) => platform.restart(&format!("w{worker}")),
        Action::Withdraw(worker) => {
            platform.withdraw(&format!("w{worker}"), Duration::from_secs(40));
        }
        Action::Pass(seconds) => pass(platform, Duration::from_secs(*seconds)),
    }
}

fn pass(platform: &mut Platform, time: Duration) {
    platform.run_until(platform.now + time);
}

/// Runs a schedule until everything has calmed down.
fn outcome(actions: &[Action], protections: Protections) -> Result<(), TestCaseError> {
    let mut platform = platform(protections);
    for (number, action) in actions.iter().enumerate() {
        act(&mut platform, number, action);
        let faults = &platform.tally.faults;
        prop_assert!(faults.is_empty(), "{faults:?}");
    }
    platform.set_cut("w", false);
    pass(&mut platform, QUIET);
    let faults = &platform.tally.faults;
    prop_assert!(faults.is_empty(), "{faults:?}");
    let mut left = platform.placement.jobs();
    left.try_for_each(|id| is_left_rightly(&platform, id))
}

/// What is still there when everything has calmed down fails, or rests.
fn is_left_rightly(platform: &Platform, id: JobId) -> Result<(), TestCaseError> {
    let view = platform.placement.job_view(id);
    let rests = matches!(
        view,
        Some(JobView::Waiting(WaitReason::Parked | WaitReason::Backoff))
    );
    let name = platform.placement.job_name(id).unwrap_or_default();
    let fails = platform.truth(name).is_some_and(|truth| truth.fails);
    prop_assert!(rests || fails, "{name} is left: {view:?}");
    Ok(())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Nothing is over capacity or quota, nothing runs twice, nothing is
/// forgotten; and when the faults are over, all that can end ends.
#[test]
fn placement_any_schedule() {
    let mut runner = TestRunner::new(config());
    let schedules = prop::collection::vec(action(), 1..60);
    let result = runner.run(&schedules, |actions| outcome(&actions, Protections::ALL));
    assert!(result.is_ok(), "{result:?}");
}

/// Some schedule among the same ones shows the fault when a protection is off.
fn assert_notices(fault: &str, turn_off: impl Fn(&mut Protections)) {
    let mut protections = Protections::ALL;
    turn_off(&mut protections);
    let mut runner = TestRunner::new(ProptestConfig {
        max_shrink_iters: 0,
        ..config()
    });
    let schedules = prop::collection::vec(action(), 1..60);
    let result = runner.run(&schedules, |actions| outcome(&actions, protections));
    let text = format!("{result:?}");
    assert!(text.contains(fault), "{fault:?} is not in {text}");
}

#[test]
fn schedules_without_protection() {
    let start = "a task was started on a worker without room";
    assert_notices(start, |p| p.room = false);
    assert_notices("a job ran on two workers", |p| p.lease_wait = false);
    assert_notices("over its team's quota", |p| p.quotas = false);
    assert_notices("was not empty in time", |p| p.drain = false);
    assert_notices("is left", |p| p.refusal = false);
}
