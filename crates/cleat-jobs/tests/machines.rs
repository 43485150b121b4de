//! Machines that follow the demand, and waves of maintenance.

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
    assert!(moved(&harness.tick(ms(50))).is_empty(), "one is enough");
}

/// Room there is, but not enough workers to keep the tasks apart.
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

/// Callers saw eight of 80 lasting tasks wait for a whole day while a third of their pool
/// was free: each took most of a worker's memory, and every worker had a bit less free.
/// The pool's need was compared with its room in all, a tenth left unused. Evidence: the
/// balance of the pool says for 25 s that eight tasks wait, with 1,050 of 1,376 cores
/// free and no machine on its way.
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
        "one for each, of 8 cores of which 6 are free"
    );
    assert!(
        moved(&harness.tick(ms(50))).is_empty(),
        "they are on their way"
    );
}

/// The same where two would share a worker, and none has room for one.
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
    assert_eq!(moved(&effects).len(), 1, "2.5 of 8 cores are free on each");
}

/// The same where the only worker with room for a task has another of its step, from
/// which it has to be apart.
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
        "of 24 cores 6 are free on one worker"
    );
}

/// No machine helps a task that is larger than all of them.
#[test]
fn move_no_machine_for_a_task_that_fits_no_worker() {
    let mut harness = harness_with_a_spare_machine();
    harness.submit(1, vec![step(1, 100)]);
    harness.submit(2, vec![step(1, 9_000)]);
    let effects = harness.tick(ms(50));
    assert!(moved(&effects).len() <= 1, "its size counts, and no more");
    assert!(moved(&harness.tick(ms(50))).is_empty());
}

/// How many machines move at once for twenty jobs of half a core second that
/// come at this pace, where a machine and what it has room for is 8 cores.
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

/// Twenty jobs within 80 ms tell what a whole turn of demand will need.
#[test]
fn move_machines_for_a_rise_of_demand() {
    // 20 jobs of 0.5 core seconds in 77 ms are 130 cores, a machine has 8.
    let moves = moves_for_twenty_jobs(ms(4));
    assert!(moves >= 12, "{moves}");
}

/// What waits has to be done beside what goes on coming, or the pool would never
/// catch up.
#[test]
fn move_machines_for_waiting_and_arriving_jobs() {
    // 80 jobs a second of half a core second are 40 cores, and 12 tasks of a
    // core wait: with a tenth left unused, eight machines of 8 cores.
    assert_eq!(moves_for_twenty_jobs(ms(12)), 7);
}

#[test]
fn move_idle_machine_back_to_the_spare_pool() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::with_workers(&workers);
    let fleet = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    list_machines(&mut harness, fleet.to_vec());
    assert!(moved(&harness.tick(ms(50))).is_empty(), "not at once");
    let back = moved(&harness.tick(ms(1_000)));
    assert_eq!(back.len(), 1, "two stay: {back:?}");
    assert_eq!(&*back[0].1, "spare");
}

#[test]
fn wave_maintains_at_most_max_at_once() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::with_workers(&workers);
    let fleet = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    list_machines(&mut harness, fleet.to_vec());
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

/// A machine is chosen while its worker has not sent a heartbeat yet.
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
    assert_eq!(first.len(), 4, "two on each, before it is noticed");
    harness.tick(ms(50));
    let next = starts(&harness.submit(2, vec![step(2, 2_000)]));
    let workers: Vec<&str> = next.iter().map(|(worker, _)| &**worker).collect();
    assert_eq!(workers, ["w1"], "the room on w2 stays free");
}

/// Both pools have more to do than room; one has far more.
#[test]
fn move_shares_machines_between_full_pools() {
    let workers = ["w1", "w2", "w3"];
    let mut harness = Harness::with_workers(&workers);
    harness.add_worker("w4", "b");
    let mut fleet = workers
        .map(|name| machine(&format!("m-{name}"), "a", Some(name)))
        .to_vec();
    fleet.push(machine("m-w4", "b", Some("w4")));
    list_machines(&mut harness, fleet);
    let started = starts(&harness.submit(1, vec![step(6, 4_000)]));
    assert_eq!(started.len(), 6, "the three workers are full");
    harness.submit_to(1, 2, vec![step(10, 4_000)]);
    assert!(moved(&harness.tick(ms(50))).is_empty(), "none is idle");
    let mut given = Vec::new();
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
        given.extend(moved(&harness.tick(ms(50))));
    }
    assert!(!given.is_empty(), "one was kept free for it");
    assert!(given.iter().all(|(_, pool)| &**pool == "b"), "{given:?}");
}

/// A fleet that has just started: every machine is idle, and a pool lacks some.
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
    assert!(back.len() < 30, "all others wait: {}", back.len());
    harness.submit_to(1, 1, vec![step(1, 4_000)]);
    let next = moved(&harness.tick(ms(50)));
    let pools: Vec<&str> = next.iter().map(|(_, pool)| &**pool).collect();
    assert_eq!(
        pools,
        ["b"],
        "one at once, and no other goes back before it"
    );
}

/// One move where two would do: back to the spare pool, and out of it again.
#[test]
fn move_takes_an_idle_machine_of_another_pool_before_a_spare_one() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::with_workers(&workers);
    let own = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    let spare = machine("m-spare", "spare", None);
    list_machines(&mut harness, [own.to_vec(), vec![spare]].concat());
    harness.now += ms(7_000);
    harness.submit_to(1, 1, vec![step(1, 4_000)]);
    let given = moved(&harness.tick(ms(10)));
    assert_eq!(given.len(), 1, "{given:?}");
    let (name, pool) = &given[0];
    assert!(name.starts_with("m-w") && &**pool == "b", "{given:?}");
}

/// A new owner has not seen enough to say that a pool needs less than it has.
#[test]
fn move_by_a_new_owner_takes_no_machine_from_other_pools() {
    let workers = ["w1", "w2", "w3", "w4"];
    let mut harness = Harness::with_workers(&workers);
    let own = workers.map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    let spare = machine("m-spare", "spare", None);
    list_machines(&mut harness, [own.to_vec(), vec![spare]].concat());
    harness.tick(ms(10));
    harness.submit_to(1, 1, vec![step(1, 4_000)]);
    let given = moved(&harness.tick(ms(400)));
    assert_eq!(given, vec![("m-spare".into(), "b".into())]);
}

/// A turn of demand that ends: ten workers are full, then one job comes each
/// 300 ms. What stays has room for each, and the other machines have gone back
/// half a second after the last task of the turn.
#[test]
fn move_after_a_demand_peak_leaves_capacity_for_later_jobs() {
    let names: Vec<String> = (0..10).map(|at| format!("w{at}")).collect();
    let workers: Vec<&str> = names.iter().map(|name| &**name).collect();
    let mut harness = Harness::with_workers(&workers);
    let fleet = workers
        .iter()
        .map(|name| machine(&format!("m-{name}"), "a", Some(name)));
    list_machines(&mut harness, fleet.collect());
    harness.now += ms(7_000);
    let peak = starts(&harness.submit(1, vec![step(20, 4_000)]));
    assert_eq!(peak.len(), 20, "two on each");
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
    // An order without an answer is repeated, so each machine counts once.
    let mut back = BTreeSet::new();
    for (at, job) in (10..30).enumerate() {
        if at % 6 == 0 {
            let started = starts(&harness.submit(job, vec![step(1, 4_000)]));
            assert_eq!(started.len(), 1, "it finds room at once");
        }
        let gone = moved(&harness.tick(ms(50))).into_iter();
        back.extend(gone.map(|(name, _)| name));
        if at == 9 {
            let count = back.len();
            assert!(count >= 6, "{count} of 10 went back in half a second");
        }
    }
    let left = 10 - back.len();
    assert!(left >= 2, "one with work, one free for what comes: {left}");
}
