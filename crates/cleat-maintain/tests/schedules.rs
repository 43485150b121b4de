//! Fault injection at every step of waves and moves: runs the reconciler through
//! seeded random schedules (thousands with a higher number of seeds), with a fake
//! platform that loses, repeats and delays messages. The invariants are checked
//! after every command.

mod support;

use support::{Fault, Sim};

/// The number of mixed schedules, unless [`SEEDS_VARIABLE`] sets another one.
const DEFAULT_SEEDS: u64 = 100;
const SEEDS_VARIABLE: &str = "CLEAT_SEEDS";
/// The number of schedules for each single fault.
const SEEDS_PER_FAULT: u64 = 10;
const FAULT_SECONDS: u64 = 300;

fn seeds() -> u64 {
    let value = std::env::var(SEEDS_VARIABLE).ok();
    value.map_or(DEFAULT_SEEDS, |value| {
        value.parse().expect("a number of seeds")
    })
}

#[test]
fn schedule_mixed_faults_keep_every_invariant() {
    let mut reboots = 0;
    for seed in 0..seeds() {
        let mut sim = Sim::new(seed);
        sim.run(FAULT_SECONDS, Fault::ALL);
        sim.settle();
        reboots += sim.reboots();
    }
    println!("{reboots} reboots in {} schedules", seeds());
    assert!(reboots > seeds(), "the schedules reached {reboots} reboots");
}

#[test]
fn schedule_each_fault_alone_keeps_every_invariant() {
    for fault in Fault::ALL {
        for seed in 0..SEEDS_PER_FAULT {
            let mut sim = Sim::new(seed);
            sim.run(FAULT_SECONDS, &[*fault]);
            sim.settle();
            assert!(
                sim.reboots() > 0,
                "{fault:?}, seed {seed}: no instance was rebooted"
            );
        }
    }
}
