//! Seeded schedules of faults over pure cores.

mod simulation;

use std::ops::Range;

use cleat_quorum::Protections;
use simulation::{Fault, Plan, SECOND, Step, Violation, World, run};

const THREADS: u64 = 4;

/// Runs seeds on a few threads until one breaks an invariant; gives the first
/// of those that were reached.
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
fn schedule_random_faults_upkeep() {
    let plan = Plan {
        upkeep: true,
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

/// The leases outlive their leader, unless the first election fails.
#[test]
fn schedule_leader_dies() {
    let plan = Plan {
        kill_leader: true,
        leadership_transfers: 0,
        random_faults: 0,
        ..Plan::default()
    };
    let results = run_all(seeds(200), move |seed| {
        run(seed, plan).map(|world| world.lapsed.len())
    });
    assert!(results.iter().all(|(_, result)| result.is_ok()));
    let lapsed = results
        .iter()
        .filter(|(_, lapsed)| *lapsed != Ok(0))
        .count();
    println!(
        "leases lapsed after {lapsed} of {} deaths of a leader",
        results.len()
    );
    assert!(
        lapsed * 20 <= results.len(),
        "{lapsed} of {}",
        results.len()
    );
}

/// A lead that is handed over is missing for some round trips and a sync,
/// not for an election time-out.
#[test]
fn schedule_leader_hands_over() {
    let plan = Plan {
        leadership_transfers: 1,
        random_faults: 0,
        slow_sync: (0.0, SECOND),
        ..Plan::default()
    };
    let results = run_all(seeds(200), move |seed| {
        run(seed, plan).map(|world| world.without_leader)
    });
    let times = results
        .into_iter()
        .map(|(_, times)| times.expect("no fault"));
    let mut times: Vec<_> = times.flatten().collect();
    times.sort_unstable();
    assert!(times.len() >= 190, "{} of 200 handed over", times.len());
    let at = |percent| times[(times.len() - 1) * percent / 100];
    let (median, late, last) = (at(50), at(95), at(100));
    println!(
        "{} leads handed over: none for {median} us at p50, {late} at p95, {last} at most",
        times.len()
    );
    assert!(late < SECOND / 10, "{late} us");
}

/// Every fault at every step: the schedule must reach the step, and the group
/// must hold its invariants and recover.
#[test]
fn matrix_every_step_and_fault() {
    const SEEDS: u64 = 8;
    let mut table = format!("{:12}", "step");
    for fault in Fault::ALL {
        table += &format!("{:>12}", format!("{fault:?}"));
    }
    for step in Step::ALL {
        table += &format!("\n{:12}", format!("{step:?}"));
        for fault in Fault::ALL {
            let plan = Plan {
                cell: Some((step, fault)),
                upkeep: true,
                random_faults: 0,
                ..Plan::default()
            };
            let job = |seed| run(seed, plan).map(|world: World| world.hits);
            let results = run_all(seeds(SEEDS), job);
            let failed: Vec<_> = results
                .iter()
                .filter(|(_, result)| result.is_err())
                .collect();
            assert!(failed.is_empty(), "{step:?} x {fault:?}: {failed:?}");
            let hits: u32 = results
                .iter()
                .filter_map(|(_, hits)| hits.as_ref().ok())
                .sum();
            assert!(hits > 0, "{step:?} was never reached");
            table += &format!("{hits:>12}");
        }
    }
    println!("schedules that passed with the fault at the step, of {SEEDS}\n{table}");
}

/// Many faults on slow disks, with one protection off.
fn without(faults: &'static [Fault], change: impl FnOnce(&mut Protections)) -> Plan {
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

const CRASHES: &[Fault] = &[Fault::Kill, Fault::CutBoth, Fault::Second];
const CUTS: &[Fault] = &[Fault::CutIn, Fault::CutOut, Fault::CutBoth];
const PAUSES: &[Fault] = &[Fault::Freeze, Fault::Delay, Fault::CutIn, Fault::CutOut];

/// Shows that the checks notice a protection that is switched off.
fn assert_red(name: &str, plan: Plan, expected: fn(&Violation) -> bool) {
    let failed = first_violation(seeds(4000), plan);
    println!("{name} off: {failed:?}");
    let (_, violation) = failed.unwrap_or_else(|| panic!("nothing noticed {name} off"));
    assert!(expected(&violation), "{name} off gave {violation:?}");
}

fn loses_entries(violation: &Violation) -> bool {
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

fn serves_behind(violation: &Violation) -> bool {
    matches!(violation, Violation::ServesBehind(..))
}

#[test]
fn protection_sync_before_send() {
    let plan = without(CRASHES, |p| p.sync_before_send = false);
    assert_red("sync before send", plan, loses_entries);
}

#[test]
fn protection_commit_after_own_sync() {
    let plan = without(CRASHES, |p| p.commit_after_own_sync = false);
    assert_red("own sync counts", plan, loses_entries);
}

#[test]
fn protection_log_check() {
    let plan = without(CRASHES, |p| p.log_check = false);
    assert_red("log check", plan, loses_entries);
}

#[test]
fn protection_identity_check() {
    let plan = without(&[Fault::LostDisk], |p| p.identity_check = false);
    assert_red("identity check", plan, |v| {
        matches!(v, Violation::LostDiskVotes(..))
    });
}

#[test]
fn protection_stickiness() {
    // Without proposals a cut-off member stays up to date and can be elected.
    let plan = without(CUTS, |p| p.stickiness = false);
    let plan = Plan {
        client_pause: 5 * SECOND,
        learners: 0,
        ..plan
    };
    assert_red("stickiness", plan, |v| {
        matches!(v, Violation::TwoLeaderLeases)
    });
}

#[test]
fn protection_transfer_ends_lease() {
    let plan = without(PAUSES, |p| p.transfer_ends_lease = false);
    let plan = Plan {
        cell: Some((Step::TimeoutNow, Fault::CutBoth)),
        leadership_transfers: 4,
        random_faults: 0,
        slow_sync: (0.0, SECOND),
        ..plan
    };
    assert_red("transfer ends lease", plan, |v| {
        matches!(v, Violation::TwoLeaderLeases)
    });
}

#[test]
fn protection_lease_from_send() {
    let plan = without(PAUSES, |p| p.lease_from_send = false);
    assert_red("lease from send", plan, serves_behind);
}

#[test]
fn protection_apply_before_lease_resumes() {
    let plan = without(PAUSES, |p| p.apply_before_lease_resumes = false);
    assert_red("renewal gate", plan, serves_behind);
}

#[test]
fn protection_inherited_leases() {
    let plan = without(PAUSES, |p| p.inherited_leases = false);
    assert_red("inherited leases", plan, serves_behind);
}
