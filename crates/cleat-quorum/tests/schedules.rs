//! Simulations of groups of cores under seeded schedules of faults.

mod simulation;

use std::ops::Range;

use cleat_quorum::Protections;
use simulation::{Fault, Plan, SECOND, Step, Violation, World, run};

const THREADS: u64 = 4;

/// Runs the seeds on several threads, each of which stops at its first
/// violation. Returns the violation with the lowest seed.
fn first_violation(seeds: Range<u64>, plan: Plan) -> Option<(u64, Violation)> {
    let failed = run_all(seeds, move |seed| run(seed, plan).map(drop));
    failed
        .into_iter()
        .filter_map(|(seed, result)| Some((seed, result.err()?)))
        .min_by_key(|f| f.0)
}

fn run_all<T: Send>(
    seeds: Range<u64>,
    job: impl Fn(u64) -> Result<T, Violation> + Sync,
) -> Vec<(u64, Result<T, Violation>)> {
    std::thread::scope(|scope| {
        let start = |worker| {
            let (seeds, job) = (seeds.clone(), &job);
            scope.spawn(move || {
                let mut results = Vec::new();
                for seed in seeds.filter(|seed| seed % THREADS == worker) {
                    results.push((seed, job(seed)));
                    if results.last().is_some_and(|(_, result)| result.is_err()) {
                        break;
                    }
                }
                results
            })
        };
        let workers: Vec<_> = (0..THREADS).map(start).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a worker ends"))
            .collect()
    })
}

fn seeds(count: u64) -> Range<u64> {
    let first = std::env::var("SCHEDULE_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let first = first.unwrap_or(0);
    let count = std::env::var("SCHEDULE_COUNT")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(count);
    first..first + count
}

#[test]
fn schedule_random_faults() {
    assert_eq!(first_violation(seeds(1000), Plan::default()), None);
}

#[test]
fn schedule_random_faults_with_disk_loss_and_stop() {
    let plan = Plan {
        disk_loss_and_stop: true,
        random_faults: 4,
        ..Plan::default()
    };
    assert_eq!(first_violation(seeds(250), plan), None);
}

#[test]
fn schedule_slow_disks() {
    let plan = Plan {
        random_faults: 12,
        slow_sync: (0.3, SECOND),
        ..Plan::default()
    };
    assert_eq!(first_violation(seeds(150), plan), None);
}

#[test]
fn schedule_five_voters() {
    let plan = Plan {
        voters: 5,
        learners: 4,
        random_faults: 10,
        ..Plan::default()
    };
    assert_eq!(first_violation(seeds(150), plan), None);
}

/// The member leases must outlast the crash of the leader, unless the first
/// election fails.
#[test]
fn schedule_leader_crashes() {
    let plan = Plan {
        crash_leader: true,
        leadership_transfers: 0,
        random_faults: 0,
        ..Plan::default()
    };
    let results = run_all(seeds(200), move |seed| {
        run(seed, plan).map(|world| world.expired.len())
    });
    assert!(results.iter().all(|(_, result)| result.is_ok()));
    let expired = results
        .iter()
        .filter(|(_, expired)| *expired != Ok(0))
        .count();
    println!(
        "member leases expired after {expired} of {} leader crashes",
        results.len()
    );
    assert!(
        expired * 20 <= results.len(),
        "{expired} of {}",
        results.len()
    );
}

/// A leadership transfer must leave the group without a leader only for a few
/// round trips and a sync, not for an election timeout.
#[test]
fn schedule_leadership_transfer() {
    let plan = Plan {
        leadership_transfers: 1,
        random_faults: 0,
        slow_sync: (0.0, SECOND),
        ..Plan::default()
    };
    let results = run_all(seeds(200), move |seed| {
        run(seed, plan).map(|world| world.leaderless_periods)
    });
    let times = results
        .into_iter()
        .map(|(_, times)| times.expect("no fault"));
    let mut times: Vec<_> = times.flatten().collect();
    times.sort_unstable();
    assert!(
        times.len() >= 190,
        "{} of 200 transfers completed",
        times.len()
    );
    let at = |percent| times[(times.len() - 1) * percent / 100];
    let (median, late, last) = (at(50), at(95), at(100));
    println!(
        "{} leadership transfers, time without a leader: {median} us at p50, {late} us at p95, {last} us at maximum",
        times.len()
    );
    assert!(late < SECOND / 10, "{late} us");
}

/// Injects every fault at every step. Each step must be reached, and the group
/// must preserve its invariants and recover.
#[test]
fn every_fault_at_every_step() {
    const SEEDS: u64 = 8;
    let mut table = format!("{:12}", "step");
    for fault in Fault::ALL {
        table += &format!("{:>12}", format!("{fault:?}"));
    }
    for step in Step::ALL {
        table += &format!("\n{:12}", format!("{step:?}"));
        for fault in Fault::ALL {
            let plan = Plan {
                targeted_fault: Some((step, fault)),
                disk_loss_and_stop: true,
                random_faults: 0,
                ..Plan::default()
            };
            let job = |seed| run(seed, plan).map(|world: World| world.targeted_injections);
            let results = run_all(seeds(SEEDS), job);
            let failed: Vec<_> = results
                .iter()
                .filter(|(_, result)| result.is_err())
                .collect();
            assert!(failed.is_empty(), "{step:?} x {fault:?}: {failed:?}");
            let targeted_injections: u32 = results
                .iter()
                .filter_map(|(_, targeted_injections)| targeted_injections.as_ref().ok())
                .sum();
            assert!(targeted_injections > 0, "{step:?} was never reached");
            table += &format!("{targeted_injections:>12}");
        }
    }
    println!("schedules that passed with the fault injected at the step, of {SEEDS}\n{table}");
}

/// A plan with many faults on slow disks and one protection disabled.
fn plan_without(faults: &'static [Fault], change: impl FnOnce(&mut Protections)) -> Plan {
    let mut protections = Protections::default();
    change(&mut protections);
    let slow_sync = (0.3, SECOND);
    let random_faults = 14;
    Plan {
        protections,
        faults,
        liveness: false,
        random_faults,
        slow_sync,
        ..Plan::default()
    }
}

const CRASHES: &[Fault] = &[Fault::Crash, Fault::CutBoth, Fault::Compound];
const CUTS: &[Fault] = &[Fault::CutInbound, Fault::CutOutbound, Fault::CutBoth];
const PAUSES: &[Fault] = &[
    Fault::Pause,
    Fault::Delay,
    Fault::CutInbound,
    Fault::CutOutbound,
];

/// Asserts that the checks detect a disabled protection.
fn assert_detects(name: &str, plan: Plan, expected: fn(&Violation) -> bool) {
    let failed = first_violation(seeds(4000), plan);
    println!("{name} disabled: {failed:?}");
    let (_, violation) =
        failed.unwrap_or_else(|| panic!("no check detected that {name} was disabled"));
    assert!(
        expected(&violation),
        "{name} disabled: unexpected violation {violation:?}"
    );
}

fn is_log_violation(violation: &Violation) -> bool {
    use Violation::{CommittedChanged, CommittedLost, LogsDiffer, StateDiffers, TwoLeadersInTerm};
    matches!(
        violation,
        CommittedChanged(..)
            | CommittedLost(..)
            | LogsDiffer(..)
            | StateDiffers(..)
            | TwoLeadersInTerm(..)
    )
}

fn serves_stale_state(violation: &Violation) -> bool {
    matches!(violation, Violation::ServesBehind(..))
}

#[test]
fn protection_sync_before_send() {
    let plan = plan_without(CRASHES, |p| p.sync_before_send = false);
    assert_detects("sync before send", plan, is_log_violation);
}

#[test]
fn protection_commit_after_own_sync() {
    let plan = plan_without(CRASHES, |p| p.commit_after_own_sync = false);
    assert_detects("commit after own sync", plan, is_log_violation);
}

#[test]
fn protection_log_check() {
    let plan = plan_without(CRASHES, |p| p.log_check = false);
    assert_detects("log check", plan, is_log_violation);
}

#[test]
fn protection_identity_check() {
    let plan = plan_without(&[Fault::LoseDisk], |p| p.identity_check = false);
    assert_detects("identity check", plan, |v| {
        matches!(v, Violation::LostDiskVotes(..))
    });
}

#[test]
fn protection_leader_stickiness() {
    // Without proposals, a member that is cut off stays up to date and can be
    // elected.
    let plan = plan_without(CUTS, |p| p.leader_stickiness = false);
    let plan = Plan {
        max_client_pause: 5 * SECOND,
        learners: 0,
        ..plan
    };
    assert_detects("leader stickiness", plan, |v| {
        matches!(v, Violation::TwoLeaderLeases)
    });
}

#[test]
fn protection_transfer_ends_lease() {
    let plan = plan_without(PAUSES, |p| p.transfer_ends_lease = false);
    let plan = Plan {
        targeted_fault: Some((Step::TimeoutNow, Fault::CutBoth)),
        leadership_transfers: 4,
        random_faults: 0,
        slow_sync: (0.0, SECOND),
        ..plan
    };
    assert_detects("transfer ends lease", plan, |v| {
        matches!(v, Violation::TwoLeaderLeases)
    });
}

#[test]
fn protection_lease_from_send() {
    let plan = plan_without(PAUSES, |p| p.lease_from_send = false);
    assert_detects("lease from send", plan, serves_stale_state);
}

#[test]
fn protection_apply_before_lease_resumes() {
    let plan = plan_without(PAUSES, |p| p.apply_before_lease_resumes = false);
    assert_detects("apply before lease resumes", plan, serves_stale_state);
}

#[test]
fn protection_inherited_leases() {
    let plan = plan_without(PAUSES, |p| p.inherited_leases = false);
    assert_detects("inherited leases", plan, serves_stale_state);
}
