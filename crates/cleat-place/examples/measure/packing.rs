//! Best fit against first fit and against the computed lower bounds.

use std::time::Duration;

use cleat_place::{JobSpec, Policy, Priority, Size, Terms, WorkerSpec};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::platform::{Platform, STEP, Truth};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const WORKERS: usize = 100;
/// Every tenth worker has accelerators; they come first, where first fit finds
/// them first.
const ACCELERATED: usize = 10;
const TEAMS: usize = 30;
const CLASSES: usize = 4;
/// Real sizes over declared ones, by class.
const WRONG: [f64; 7] = [0.25, 0.4, 0.63, 1.0, 1.6, 2.5, 4.0];
const HOUR: Duration = Duration::from_secs(3600);
/// When workers are withdrawn, which, and how soon.
const WITHDRAWN_AT: Duration = Duration::from_secs(1800);
const WITHDRAWN: &str = "w1";
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(120);
const CAPACITY: Size = Size {
    processors: 32_000,
    memory: 131_072,
    accelerators: 0,
};

/// What one run came to.
#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    /// Workers with a task over the fewest that could hold what is set aside.
    workers_over_bound: f64,
    /// Set aside but not used, in percent of the capacity: the larger of
    /// processors and memory.
    buffer: f64,
    /// Used processors in percent of the capacity.
    used: f64,
    /// Moves by cause, and the fewest that the withdrawal needed.
    urgent_moves: f64,
    relief_moves: f64,
    compactions: f64,
    drain_moves: f64,
    moves_bound: f64,
    /// Jobs killed for want of memory.
    killed: f64,
    /// The slowest start of an urgent job, in ms.
    urgent: f64,
    /// How long a batch took over its lower bound.
    batch_over_bound: f64,
}

pub(crate) fn measure() {
    println!("{WORKERS} workers, {ACCELERATED} with accelerators, seeds {SEEDS:?}");
    println!("mean [least, most] over the seeds");
    for (name, policy) in [
        ("best fit", Policy::BestFit),
        ("first fit", Policy::FirstFit),
    ] {
        let runs: Vec<Figures> = SEEDS.iter().map(|seed| run(policy, *seed)).collect();
        println!("{name}");
        print("workers in use / bound", &runs, |f| f.workers_over_bound);
        print("buffer, % of capacity", &runs, |f| f.buffer);
        print("used processors, %", &runs, |f| f.used);
        print("moves for urgent jobs", &runs, |f| f.urgent_moves);
        print("moves for memory", &runs, |f| f.relief_moves);
        print("compactions", &runs, |f| f.compactions);
        print("moves by withdrawal", &runs, |f| f.drain_moves);
        print("moves by withdr., bound", &runs, |f| f.moves_bound);
        print("killed out of memory", &runs, |f| f.killed);
        print("urgent start, worst ms", &runs, |f| f.urgent);
        print("batch time / bound", &runs, |f| f.batch_over_bound);
    }
}

fn print(what: &str, runs: &[Figures], figure: impl Fn(&Figures) -> f64) {
    let figures: Vec<f64> = runs.iter().map(figure).collect();
    let mean = figures.iter().sum::<f64>() / figures.len() as f64;
    let least = figures.iter().copied().fold(f64::INFINITY, f64::min);
    let most = figures.iter().copied().fold(0.0, f64::max);
    println!("  {what:<24} {mean:>9.3} [{least:.3}, {most:.3}]");
}

fn run(policy: Policy, seed: u64) -> Figures {
    let mut figures = steady(policy, seed);
    figures.batch_over_bound = batch(policy, seed);
    figures
}

fn platform(policy: Policy, seed: u64) -> Platform {
    let terms = Terms {
        policy,
        ..Terms::default()
    };
    let mut platform = Platform::new(terms, seed);
    for team in 0..TEAMS {
        platform.team(&format!("team{team}"), None);
    }
    for worker in 0..WORKERS {
        let accelerators = if worker < ACCELERATED { 4 } else { 0 };
        let spec = WorkerSpec {
            name: format!("w{worker}").into(),
            data_centre: format!("dc{}", worker % 3).into(),
            rack: format!("k{}", worker / 4).into(),
            capacity: Size {
                accelerators,
                ..CAPACITY
            },
            incarnation: 1,
        };
        platform.worker(spec, false);
    }
    platform
}

/// Jobs come for an hour at about two thirds of the capacity; a tenth of the
/// workers is withdrawn in the middle.
fn steady(policy: Policy, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = platform(policy, seed);
    let mut number = 0;
    let mut bound = 0;
    while platform.now < HOUR {
        for _ in 0..rng.random_range(0..=1) {
            let urgent = rng.random_bool(0.05);
            submit(&mut platform, &mut rng, number, urgent);
            number += 1;
        }
        platform.run_until(platform.now + STEP);
        if platform.now == WITHDRAWN_AT {
            bound = must_move(&platform);
            platform.withdraw(WITHDRAWN, WITHDRAWN_WITHIN);
        }
    }
    assert!(
        platform.tally.faults.is_empty(),
        "{:?}",
        platform.tally.faults
    );
    figures(&platform, bound)
}

/// The tasks on the workers to be withdrawn that can't end in time.
fn must_move(platform: &Platform) -> usize {
    let workers = platform.workers.iter();
    let leaving = workers.filter(|(name, _)| name.starts_with(WITHDRAWN));
    let tasks = leaving.flat_map(|(_, worker)| &worker.tasks);
    let long = tasks.filter(|task| {
        let ran = platform.now.saturating_sub(task.started_at);
        let run = platform.truth(&task.job).map(|truth| truth.run);
        run.is_some_and(|run| run > ran + WITHDRAWN_WITHIN)
    });
    long.count()
}

fn figures(platform: &Platform, bound: usize) -> Figures {
    let tally = &platform.tally;
    let moves = platform.placement.stats().moves;
    let idle = [0, 1].map(|part| {
        let held = tally.reserved[part] as f64 - tally.used[part] as f64;
        100.0 * held / tally.capacity[part] as f64
    });
    Figures {
        workers_over_bound: tally.busy as f64 / tally.fewest as f64,
        buffer: idle[0].max(idle[1]),
        used: 100.0 * tally.used[0] as f64 / tally.capacity[0] as f64,
        urgent_moves: moves.urgent as f64,
        relief_moves: moves.relief as f64,
        compactions: moves.compaction as f64,
        drain_moves: moves.drain as f64,
        moves_bound: bound as f64,
        killed: tally.out_of_memory as f64,
        urgent: tally.urgent_start_ms.iter().copied().max().unwrap_or(0) as f64,
        batch_over_bound: 0.0,
    }
}

/// A batch that is there at once: its time over the longer of that of a fluid
/// that fills every worker to the brim and that of its longest job.
fn batch(policy: Policy, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut platform = platform(policy, seed);
    for number in 0..2000 {
        submit(&mut platform, &mut rng, number, false);
    }
    let least = least_time(&platform);
    while platform.placement.jobs().next().is_some() && platform.now < 10 * HOUR {
        platform.run_until(platform.now + STEP);
    }
    platform.now.as_secs_f64() / least
}

fn least_time(platform: &Platform) -> f64 {
    let mut work = [0.0; 3];
    for job in platform.jobs.values() {
        let parts = job.truth.used.parts();
        for (sum, part) in work.iter_mut().zip(parts) {
            *sum += f64::from(part) * job.truth.run.as_secs_f64();
        }
    }
    let capacity = [
        f64::from(CAPACITY.processors) * WORKERS as f64,
        f64::from(CAPACITY.memory) * WORKERS as f64,
        4.0 * ACCELERATED as f64,
    ];
    let times = work.iter().zip(capacity).map(|(work, all)| work / all);
    let longest = platform
        .jobs
        .values()
        .map(|job| job.truth.run.as_secs_f64());
    times.chain(longest).fold(0.0, f64::max)
}

/// A job of a random class; a class is wrong about its sizes by up to a factor
/// of four either way, and each of its jobs by a little more.
fn submit(platform: &mut Platform, rng: &mut StdRng, number: usize, urgent: bool) {
    let team = rng.random_range(0..TEAMS);
    let class = rng.random_range(0..CLASSES);
    let step = (team * CLASSES + class) % WRONG.len();
    let wrong = WRONG[step];
    let wrong = wrong * rng.random_range(0.8..1.0);
    let processors = [500, 1000, 2000, 4000, 8000][rng.random_range(0..5)];
    let memory = processors * [2, 4, 8][rng.random_range(0..3)];
    let accelerators = u32::from(rng.random_bool(0.03));
    let used = Size {
        processors,
        memory,
        accelerators,
    };
    let declared = Size {
        processors: scaled(processors, 1.0 / wrong),
        memory: scaled(memory, 1.0 / wrong).min(CAPACITY.memory),
        accelerators,
    };
    let run = Duration::from_secs(rng.random_range(30..900));
    let expected = run.mul_f64(rng.random_range(0.5..2.0));
    let id = platform.placement.team(&format!("team{team}"));
    let checkpointable = rng.random_bool(0.7);
    let spec = JobSpec {
        name: format!("job{number}").into(),
        team: id.expect("the team is known"),
        class: format!("class{class}").into(),
        declared,
        priority: if urgent {
            Priority::Urgent
        } else {
            Priority::Normal
        },
        checkpointable,
        expected_run: expected,
    };
    let truth = Truth {
        used,
        run,
        fails: false,
        checkpointable,
    };
    platform.submit(spec, truth);
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(amount: u32, by: f64) -> u32 {
    (f64::from(amount) * by).clamp(1.0, 32_000.0 * 8.0) as u32
}
