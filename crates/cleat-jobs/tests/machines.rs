//! Machine moves that follow demand, and waves of maintenance.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use cleat_jobs::{Command, EndKind, RenewalAnswer, StepSpec};
use support::{Harness, end, ended, ends, list_machines, machine, moved, starts, step};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One worker, and one machine in the spare pool.
fn harness_with_a_spare_machine() -> Harness {
    let mut harness = Harness::with_workers(&["w1"]);
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(&mut harness, vec![own, machine("m1", "spare", None)]);
    harness
}

#[test]
fn move_spare_machine_to_a_full_pool() {
    let mut harness = harness_with_a_spare_machine();
    harness.submit(1, vec![step(3, 4_000)]);
    let effects = harness.tick(ms(50));
    assert_eq!(moved(&effects), vec![("m1".into(), "a".into())]);
    assert!(
        moved(&harness.tick(ms(50))).is_empty(),
        "a second machine was moved"
    );
}

/// Guards against tasks that draw machines into their pool for as long as they wait, though
/// no machine can hold them.
#[test]
fn no_machine_is_moved_for_tasks_that_none_can_hold() {
    let labelled = StepSpec {
        required_label: Some("missing".into()),
        ..step(3, 6_000)
    };
    let large_gang = StepSpec {
        gang: true,
        ..step(5, 6_000)
    };
    for blocker in [step(3, 40_000), labelled, large_gang] {
        let mut harness = harness_with_a_spare_machine();
        let spec = StepSpec {
            long_running: true,
            ..blocker
        };
        harness.submit(1, vec![spec]);
        assert!(moved(&harness.tick(ms(50))).is_empty());
    }
}

/// A machine that is larger than the pool's workers can hold them.
#[test]
fn move_the_only_machine_that_can_hold_a_task() {
    let mut harness = Harness::with_workers(&["w1"]);
    let own = machine("m-w1", "a", Some("w1"));
    let mut large = machine("m1", "spare", None);
    large.capacity.cpu_milli = 50_000;
    list_machines(&mut harness, vec![own, large]);
    harness.submit(1, vec![step(1, 40_000)]);
    let effects = harness.tick(ms(50));
    assert_eq!(moved(&effects), vec![("m1".into(), "a".into())]);
}

/// There is enough free capacity, but too few workers for a step with `max_per_worker`.
#[test]
fn move_spare_machine_for_tasks_kept_apart() {
    let mut harness = harness_with_a_spare_machine();
    let apart = StepSpec {
        max_per_worker: Some(1),
        ..step(2, 100)
    };
    harness.submit(1, vec![apart]);
    assert_eq!(
        moved(&harness.tick(ms(50))),
        vec![("m1".into(), "a".into())]
    );
}

/// Guards against comparing a pool's need only with its total free capacity, less a tenth
/// that is left unused. Eight of 80 long-running tasks waited a whole day while a third of
/// the pool was free, because each needed most of a worker's memory and every worker had
/// slightly less free. For 25 s the pool reported eight waiting tasks, 1,050 of 1,376 cores
/// free and no machine being moved to it.
#[test]
fn move_machine_for_a_task_that_takes_most_of_a_worker() {
    let mut harness = Harness::with_workers(&["w1", "w2", "w3", "w4"]);
    let own = ["w1", "w2", "w3", "w4"].map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    let spare = ["s1", "s2", "s3"].map(|name| machine(name, "spare", None));
    list_machines(&mut harness, [own.to_vec(), spare.to_vec()].concat());
    let apart = StepSpec {
        max_per_worker: Some(1),
        long_running: true,
        ..step(4, 2_000)
    };
    harness.submit(1, vec![apart]);
    harness.submit(2, vec![step(2, 6_500)]);
    let effects = harness.tick(ms(50));
    assert_eq!(
        moved(&effects).len(),
        2,
        "not one machine per task that needs more than the 6 free cores of a worker"
    );
    assert!(
        moved(&harness.tick(ms(50))).is_empty(),
        "machines were requested again while others were being moved"
    );
}

/// As above, with tasks of which two fit on one worker, but which fit into no worker's free
/// capacity.
#[test]
fn move_machine_for_tasks_that_fit_in_no_free_capacity() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::with_workers(&workers);
    let own = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    let spare = ["s1", "s2"].map(|name| machine(name, "spare", None));
    list_machines(&mut harness, [own.to_vec(), spare.to_vec()].concat());
    harness.submit(1, vec![step(4, 5_500)]);
    harness.submit(2, vec![step(2, 3_000)]);
    let effects = harness.tick(ms(50));
    assert_eq!(
        moved(&effects).len(),
        1,
        "not one machine for two tasks of 3 cores with 2.5 of 8 cores free on each worker"
    );
}

/// As above, where the only worker with enough free capacity already runs a task of the
/// step, which allows one task per worker.
#[test]
fn move_machine_for_tasks_kept_apart_where_others_fill_the_rest() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::with_workers(&workers);
    let own = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    let spare = ["s1", "s2"].map(|name| machine(name, "spare", None));
    list_machines(&mut harness, [own.to_vec(), spare.to_vec()].concat());
    harness.submit(1, vec![step(2, 7_000)]);
    let apart = StepSpec {
        max_per_worker: Some(1),
        ..step(2, 2_000)
    };
    harness.submit(2, vec![apart]);
    let effects = harness.tick(ms(50));
    assert_eq!(
        moved(&effects).len(),
        1,
        "not one machine with 6 of 24 cores free, all on one worker"
    );
}

/// A task that is larger than every machine causes no further moves.
#[test]
fn move_no_machine_for_a_task_that_fits_no_worker() {
    let mut harness = harness_with_a_spare_machine();
    harness.submit(1, vec![step(1, 100)]);
    harness.submit(2, vec![step(1, 9_000)]);
    let effects = harness.tick(ms(50));
    assert!(
        moved(&effects).len() <= 1,
        "more machines were moved than the size of the task accounts for"
    );
    assert!(moved(&harness.tick(ms(50))).is_empty());
}

/// The number of machines moved at once for twenty jobs of half a core second each that
/// arrive at this interval. A machine has 8 cores.
fn moves_for_twenty_jobs(interval: Duration) -> usize {
    let mut harness = Harness::with_workers(&["w1"]);
    let names: Vec<String> = (0..20).map(|at| format!("s{at}")).collect();
    let spares = names.iter().map(|name| machine(name, "spare", None));
    let own = machine("m-w1", "a", Some("w1"));
    list_machines(&mut harness, spares.chain([own]).collect());
    harness.tick(ms(3_000));
    for job in 0..20 {
        harness.now += interval;
        harness.submit(job, vec![step(1, 1_000)]);
    }
    moved(&harness.tick(ms(1))).len()
}

/// Twenty jobs within 80 ms are enough to forecast the need of a demand peak.
#[test]
fn move_machines_for_a_rise_of_demand() {
    // 20 jobs of 0.5 core seconds in 77 ms are 130 cores, a machine has 8.
    let moves = moves_for_twenty_jobs(ms(4));
    assert!(moves >= 12, "{moves}");
}

/// Waiting tasks need machines in addition to those for arriving jobs, or the pool would
/// never catch up.
#[test]
fn move_machines_for_waiting_and_arriving_jobs() {
    // 80 jobs per second of half a core second need 40 cores, and 12 tasks of one core
    // wait. With a tenth left unused, that is eight machines of 8 cores, and the
    // pool has one.
    assert_eq!(moves_for_twenty_jobs(ms(12)), 7);
}

#[test]
fn move_idle_machine_back_to_the_spare_pool() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::with_workers(&workers);
    let machines = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    list_machines(&mut harness, machines.to_vec());
    assert!(
        moved(&harness.tick(ms(50))).is_empty(),
        "a machine was moved back at once"
    );
    let back = moved(&harness.tick(ms(1_000)));
    assert_eq!(
        back.len(),
        1,
        "not exactly one of three machines was moved back: {back:?}"
    );
    assert_eq!(&*back[0].1, "spare");
}

#[test]
fn wave_maintains_at_most_max_at_once() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::with_workers(&workers);
    let machines = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    list_machines(&mut harness, machines.to_vec());
    harness.apply(Command::StartWave {
        wave: 1,
        machines: workers.map(|name| format!("m-{name}").into()).to_vec(),
        duration_ms: 10_000,
        max_at_once: 2,
    });
    let effects = harness.tick(ms(3_000));
    let maintained = effects.iter().filter(|effect| {
        let order = match effect {
            cleat_jobs::Effect::OrderMachine { order, .. } => order,
            _ => return false,
        };
        matches!(order, cleat_jobs::MachineOrder::Maintain { wave: 1 })
    });
    assert_eq!(maintained.count(), 2);
}

/// A wave chooses a machine whose worker has not sent a heartbeat yet.
#[test]
fn wave_worker_that_joins_after_its_machine_was_chosen_takes_no_work() {
    let mut harness = Harness::with_workers(&["w1"]);
    list_machines(&mut harness, vec![machine("m-w2", "a", Some("w2"))]);
    harness.apply(Command::StartWave {
        wave: 1,
        machines: vec!["m-w2".into()],
        duration_ms: 10_000,
        max_at_once: 1,
    });
    harness.tick(ms(3_000));
    harness.add_worker("w2", "a");
    let first = starts(&harness.submit(1, vec![step(4, 3_000)]));
    assert_eq!(
        first.len(),
        4,
        "not two tasks on each worker before the next tick"
    );
    harness.tick(ms(50));
    let next = starts(&harness.submit(2, vec![step(2, 2_000)]));
    let workers: Vec<&str> = next.iter().map(|(worker, _)| &**worker).collect();
    assert_eq!(
        workers,
        ["w1"],
        "a task started on the worker of a machine in the wave"
    );
}

/// Both pools have more tasks than capacity, and pool `b` has far more.
#[test]
fn move_shares_machines_between_full_pools() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::with_workers(&workers);
    harness.add_worker("w4", "b");
    let mut machines = workers
        .map(|name| machine(&format!("m-{name}"), "a", Some(name)))
        .to_vec();
    machines.push(machine("m-w4", "b", Some("w4")));
    list_machines(&mut harness, machines);
    let started = starts(&harness.submit(1, vec![step(6, 4_000)]));
    assert_eq!(started.len(), 6, "the three workers are not full");
    harness.submit_to(1, 2, vec![step(10, 4_000)]);
    assert!(
        moved(&harness.tick(ms(50))).is_empty(),
        "a machine was moved although none is idle"
    );
    let mut moves = Vec::new();
    for name in workers {
        let here = started.iter().filter(|(worker, _)| **worker == *name);
        let listed: Vec<_> = (1..)
            .zip(here)
            .map(|(number, (_, order))| end(number, order.task, 1, EndKind::Done))
            .collect();
        harness.answer_renewal(name, ended(listed.clone()));
        harness.apply(ends(name, listed));
        let confirmed = RenewalAnswer::default();
        harness.confirm_renewal(name, 2, confirmed);
        moves.extend(moved(&harness.tick(ms(50))));
    }
    assert!(!moves.is_empty(), "no machine was moved to the other pool");
    assert!(moves.iter().all(|(_, pool)| &**pool == "b"), "{moves:?}");
}

/// After start-up every machine of one pool is idle, and another pool needs machines.
#[test]
fn move_to_a_short_pool_precedes_moves_to_the_spare_pool() {
    let names: Vec<String> = (0..100).map(|at| format!("w{at}")).collect();
    let workers: Vec<&str> = names.iter().map(|name| &**name).collect();
    let mut harness = Harness::with_workers(&workers);
    let own = |name: &&str| machine(&format!("m-{name}"), "a", Some(name));
    let spare = machine("m-spare", "spare", None);
    list_machines(
        &mut harness,
        workers.iter().map(own).chain([spare]).collect(),
    );
    harness.tick(ms(50));
    let back = moved(&harness.tick(ms(1_000)));
    assert!(back.iter().all(|(_, pool)| &**pool == "spare"), "{back:?}");
    assert!(
        back.len() < 30,
        "too many machines were moved back at once: {}",
        back.len()
    );
    harness.submit_to(1, 1, vec![step(1, 4_000)]);
    let next = moved(&harness.tick(ms(50)));
    let pools: Vec<&str> = next.iter().map(|(_, pool)| &**pool).collect();
    assert_eq!(
        pools,
        ["b"],
        "the pool that needs a machine was not served first"
    );
}

/// One move instead of two: to the spare pool, and from there to the other pool.
#[test]
fn move_takes_an_idle_machine_of_another_pool_before_a_spare_one() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::with_workers(&workers);
    let own = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    let spare = machine("m-spare", "spare", None);
    list_machines(&mut harness, [own.to_vec(), vec![spare]].concat());
    harness.now += ms(7_000);
    harness.submit_to(1, 1, vec![step(1, 4_000)]);
    let moves = moved(&harness.tick(ms(10)));
    assert_eq!(moves.len(), 1, "{moves:?}");
    let (name, pool) = &moves[0];
    assert!(name.starts_with("m-w") && &**pool == "b", "{moves:?}");
}

/// A new owner has not observed enough demand to conclude that a pool has idle machines.
#[test]
fn move_by_a_new_owner_takes_no_machine_from_other_pools() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::with_workers(&workers);
    let own = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    let spare = machine("m-spare", "spare", None);
    list_machines(&mut harness, [own.to_vec(), vec![spare]].concat());
    harness.tick(ms(10));
    harness.submit_to(1, 1, vec![step(1, 4_000)]);
    let moves = moved(&harness.tick(ms(400)));
    assert_eq!(moves, vec![("m-spare".into(), "b".into())]);
}

/// At the end of a demand peak ten workers are full, and then one job arrives every
/// 300 ms. The remaining machines have free capacity for each job, and the others are moved
/// back within half a second after the last task of the peak.
#[test]
fn move_after_a_demand_peak_leaves_capacity_for_later_jobs() {
    let names: Vec<String> = (0..10).map(|at| format!("w{at}")).collect();
    let workers: Vec<&str> = names.iter().map(|name| &**name).collect();
    let mut harness = Harness::with_workers(&workers);
    let machines = workers
        .iter()
        .map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    list_machines(&mut harness, machines.collect());
    harness.now += ms(7_000);
    let peak = starts(&harness.submit(1, vec![step(20, 4_000)]));
    assert_eq!(peak.len(), 20, "not two tasks on each worker");
    for name in &workers {
        let here = peak.iter().filter(|(worker, _)| **worker == **name);
        let done: Vec<_> = (1..)
            .zip(here)
            .map(|(number, (_, order))| end(number, order.task, 1, EndKind::Done))
            .collect();
        harness.answer_renewal(name, ended(done.clone()));
        harness.apply(ends(name, done));
        harness.confirm_renewal(name, 2, RenewalAnswer::default());
    }
    // Unanswered orders are repeated, so each machine is counted once.
    let mut back = BTreeSet::new();
    for (at, job) in (10..30).enumerate() {
        if at % 6 == 0 {
            let started = starts(&harness.submit(job, vec![step(1, 4_000)]));
            assert_eq!(
                started.len(),
                1,
                "no free capacity for a job after the peak"
            );
        }
        let moves = moved(&harness.tick(ms(50))).into_iter();
        back.extend(moves.map(|(name, _)| name));
        if at == 9 {
            let count = back.len();
            assert!(
                count >= 6,
                "only {count} of 10 were moved back in half a second"
            );
        }
    }
    let left = 10 - back.len();
    assert!(
        left >= 2,
        "fewer than one busy and one free machine remain: {left}"
    );
}
