//! What an owner commits of what it has learned, and what the next owner does with it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    Catalogue, Command, ControlState, Decision, Effect, EndKind, Features, JobId, LearnedDurations,
    LearnedFault, LearnedQueue, LearnedStats, RenewalAnswer, Scheduler, SchedulerConfig, TaskOrder,
};
use support::{
    Harness, catalogue, draft, end, ended, ends, job, list_machines, machine, moved, proposals,
    queue, record, running, starts, step, task,
};

const INTERVAL: Duration = Duration::from_millis(2_000);
const TICK: Duration = Duration::from_millis(50);
/// Tasks take this long, twice their estimate.
const RUN_TIME: Duration = Duration::from_millis(1_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Replaces the owner by one that carries statistics over at this interval.
fn set_owner(harness: &mut Harness, carry_over_interval: Duration) {
    let cfg = SchedulerConfig {
        features: Features {
            carry_over_interval,
            ..Features::default()
        },
        ..SchedulerConfig::default()
    };
    let owner = Scheduler::new(cfg, &harness.state, harness.now, harness.wall_ms);
    harness.owner = owner.expect("the state has an owner");
}

/// Owners that carry statistics over, and workers that complete each task after
/// [`RUN_TIME`].
struct Play {
    harness: Harness,
    interval: Duration,
    workers: Vec<Box<str>>,
    /// The runs, with the time at which they end.
    runs: Vec<(Duration, Box<str>, TaskOrder)>,
    ends: std::collections::BTreeMap<Box<str>, u64>,
    jobs: u64,
    /// The sizes of the commands that carried statistics.
    committed: Vec<usize>,
}

impl Play {
    /// Four workers in each of the pools `a` and `b`, of 8 cores each.
    fn new(interval: Duration) -> Play {
        let mut harness = Harness::with_workers(&[]);
        harness.now = ms(100_000);
        harness.wall_ms = 10_000_000;
        set_owner(&mut harness, interval);
        let mut workers = Vec::new();
        for at in 0..8 {
            let name = format!("w{at}");
            harness.add_worker(&name, if at < 4 { "a" } else { "b" });
            workers.push(name.into());
        }
        Play {
            harness,
            interval,
            workers,
            runs: Vec::new(),
            ends: std::collections::BTreeMap::new(),
            jobs: 0,
            committed: Vec::new(),
        }
    }

    fn observe(&mut self, effects: &[Effect]) {
        for (worker, order) in starts(effects) {
            self.runs.push((self.harness.now + RUN_TIME, worker, order));
        }
        for command in proposals(effects) {
            if matches!(command, Command::Learned(_)) {
                self.committed.push(command.encode().len());
                self.harness.apply(command);
            }
        }
    }

    /// A job of one task of 2 cores for the queue at this index.
    fn submit(&mut self, queue: usize) {
        self.jobs += 1;
        let effects = self
            .harness
            .submit_to(queue, self.jobs, vec![step(1, 2_000)]);
        self.observe(&effects);
    }

    /// Ends the tasks that are due, and renews the leases of all workers.
    fn answer_renewals(&mut self) {
        let now = self.harness.now;
        for worker in self.workers.clone() {
            let own = |run: &(Duration, Box<str>, TaskOrder)| run.1 == worker;
            let due = self
                .runs
                .extract_if(.., |run| own(run) && run.0 <= now)
                .collect::<Vec<_>>();
            let number = self.ends.entry(worker.clone()).or_default();
            let done = due.iter().map(|(_, _, order)| {
                *number += 1;
                end(*number, order.task, order.run.0, EndKind::Done)
            });
            let done: Vec<_> = done.collect();
            let listed = self.runs.iter().filter(|run| own(run));
            let answer = RenewalAnswer {
                running: listed
                    .map(|(_, _, order)| running(order.task, order.run.0))
                    .collect(),
                ..ended(done.clone())
            };
            let acked = *number - done.len() as u64;
            let mut effects = self.harness.confirm_renewal(&worker, acked, answer.clone());
            if !done.is_empty() {
                effects.extend(self.harness.apply(ends(&worker, done)));
                let answer = RenewalAnswer {
                    ended: Vec::new(),
                    ..answer
                };
                effects.extend(self.harness.confirm_renewal(&worker, acked, answer));
            }
            self.observe(&effects);
        }
    }

    /// Plays `span` with this many jobs a second in the queue. Returns the last tick.
    fn load(&mut self, queue: usize, rate: u32, span: Duration) -> Vec<Effect> {
        let mut last = Vec::new();
        let ticks = u32::try_from(span.as_millis() / TICK.as_millis()).expect("few ticks");
        for tick in 0..ticks {
            for _ in rate * tick / 20..rate * (tick + 1) / 20 {
                self.submit(queue);
            }
            self.answer_renewals();
            last = self.harness.tick(TICK);
            let seen = last.clone();
            self.observe(&seen);
        }
        last
    }

    /// The owner dies, and the next one takes over after `outage`.
    fn replace_owner(&mut self, outage: Duration) {
        self.harness.now += outage;
        self.harness.wall_ms += u64::try_from(outage.as_millis()).expect("short");
        self.harness.replace_owner();
        set_owner(&mut self.harness, self.interval);
    }

    /// The moves that the owner orders once it has the list of machines: those of the
    /// workers, and eight spare ones.
    fn moves(&mut self) -> Vec<(Box<str>, Box<str>)> {
        self.answer_renewals();
        let pools = ["a", "b"].map(|pool| std::iter::repeat_n(pool, 4));
        let own = self.workers.iter().zip(pools.into_iter().flatten());
        let own = own.map(|(name, pool)| machine(&format!("m-{name}"), pool, Some(name)));
        let spare = (0..8).map(|at| machine(&format!("s{at}"), "spare", None));
        let machines = own.chain(spare).collect();
        let mut effects = list_machines(&mut self.harness, machines);
        effects.extend(self.harness.tick(ms(1)));
        moved(&effects)
    }

    /// The time in which the next job should complete.
    fn objective_ms(&mut self) -> u64 {
        self.jobs += 1;
        let effects = self.harness.submit(self.jobs, vec![step(1, 2_000)]);
        let objective = logs(&effects)
            .find_map(|decision| match decision {
                Decision::Accepted { objective_ms, .. } => Some(*objective_ms),
                _ => None,
            })
            .expect("accepted");
        self.observe(&effects);
        objective
    }
}

fn logs(effects: &[Effect]) -> impl Iterator<Item = &Decision> {
    effects.iter().filter_map(|effect| match effect {
        Effect::Log(decision) => Some(decision),
        _ => None,
    })
}

/// Six seconds at the mean rate, then a peak of five times as much.
fn play_peak(interval: Duration) -> Play {
    let mut play = Play::new(interval);
    play.load(0, 4, ms(6_000));
    play.load(0, 20, ms(3_000));
    play
}

/// Guards against a new owner in a peak that knows neither durations nor arrivals: it
/// needs 6 s until it knows the demand, and until then holds the machines of idle pools
/// and moves too few.
#[test]
fn takeover_in_a_peak_moves_the_same_machines() {
    for span in [0, 1_000, 1_950] {
        let mut old = play_peak(INTERVAL);
        old.load(0, 20, ms(span));
        let mut new = play_peak(INTERVAL);
        new.load(0, 20, ms(span));
        let expected = old.moves();
        new.replace_owner(ms(0));
        assert!(!expected.is_empty(), "the peak needs no machine");
        assert_eq!(new.moves(), expected, "died {span} ms later");
    }
}

/// As above, with the time without an owner, in which no job is accepted. It must not look
/// like the end of the peak.
#[test]
fn takeover_in_a_peak_after_an_outage_keeps_the_need() {
    // The peak needs 36 cores. All that runs or waits needs less than the pool's 32.
    let mut play = Play::new(INTERVAL);
    play.load(0, 2, ms(6_000));
    play.load(0, 18, ms(2_000));
    play.replace_owner(ms(1_000));
    let moves = play.moves();
    assert_eq!(moves.first(), Some(&("m-w4".into(), "a".into())));
}

/// Gateways held the jobs of the outage, and send them to the new owner. They replace the
/// assumed ones; counted beside them, they would appear as a rise.
#[test]
fn takeover_held_jobs_replace_the_assumed_ones() {
    // The peak needs 20 of the pool's 32 cores.
    let mut play = Play::new(INTERVAL);
    play.load(0, 2, ms(6_000));
    play.load(0, 10, ms(3_000));
    play.replace_owner(ms(1_000));
    let wall_ms = play.harness.wall_ms;
    for number in 0..10 {
        // The harness takes the arrival from its time of day.
        play.harness.wall_ms = wall_ms - 1_000 + number * 100;
        play.submit(0);
    }
    play.harness.wall_ms = wall_ms;
    assert_eq!(play.moves(), vec![], "machines for a rise that is none");
}

/// The estimates are off by a factor of two.
#[test]
fn takeover_keeps_the_durations() {
    let mut play = play_peak(INTERVAL);
    let expected = play.objective_ms();
    play.replace_owner(ms(600));
    let restored = play.objective_ms();
    // Single precision, and the tasks that ended after the last commit.
    assert!(
        restored.abs_diff(expected) <= expected / 50,
        "{restored}, {expected}"
    );
}

/// An adopted run seems to have started at the takeover. Its duration must not shorten the
/// restored ones.
#[test]
fn takeover_learns_nothing_from_adopted_runs() {
    let mut play = play_peak(INTERVAL);
    let before = play.objective_ms();
    play.replace_owner(ms(100));
    play.load(0, 0, ms(950));
    let after = play.objective_ms();
    assert!(after >= before * 49 / 50, "{after}, {before}");
}

/// A jump of the time of day makes the arrivals useless, not the durations.
#[test]
fn takeover_after_a_jump_of_the_time_of_day_keeps_only_durations() {
    for jump in [-3_600_000, 3_600_000] {
        let mut play = play_peak(INTERVAL);
        let expected = play.objective_ms();
        play.harness.wall_ms = play.harness.wall_ms.checked_add_signed(jump).expect("set");
        play.replace_owner(ms(0));
        assert!(
            play.objective_ms().abs_diff(expected) <= expected / 50,
            "the durations were lost"
        );
        let moves = play.moves();
        // Machines of other pools come last while the demand is not known.
        let first = moves.first().map(|(name, _)| &**name);
        assert_eq!(first, Some("s0"), "{moves:?}");
    }
}

/// A statistic without a change is not committed again, and none without any load.
#[test]
fn learned_without_load_is_not_committed() {
    let mut play = Play::new(INTERVAL);
    play.load(0, 0, ms(10_000));
    assert_eq!(play.committed, Vec::<usize>::new());
    play.load(0, 4, ms(2_000));
    play.load(0, 0, ms(20_000));
    let settled = play.committed.len();
    play.load(0, 0, ms(20_000));
    assert_eq!(play.committed.len(), settled);
}

/// At a peak in four queues, the commits must stay a small part of a link of 2 Mbit/s.
#[test]
fn learned_bytes_per_second_are_bounded() {
    let mut play = Play::new(INTERVAL);
    let mut all = draft(2);
    all.queues = (0..4)
        .map(|at| queue(&format!("queue-number-{at}"), "a"))
        .collect();
    let all = Arc::new(Catalogue::new(all).expect("valid"));
    play.harness.apply(Command::Configure(all));
    let seconds = 10;
    for _ in 0..seconds * 20 {
        for queue in 0..4 {
            (0..5).for_each(|_| play.submit(queue));
        }
        play.load(0, 0, TICK);
    }
    let (commits, bytes) = (play.committed.len(), play.committed.iter().sum::<usize>());
    println!("{commits} commits, {bytes} bytes in {seconds} s");
    assert!((4..=5).contains(&commits), "{commits} commits");
    // At most 300 bytes a queue, every 2 s.
    assert!(bytes <= 4 * 300 * seconds / 2, "{bytes} bytes");
}

#[test]
fn learned_of_many_queues_stays_below_its_limit() {
    let mut play = Play::new(INTERVAL);
    let mut all = draft(2);
    let name = |at| format!("a-queue-with-a-rather-long-name-{at}");
    all.queues = (0..500).map(|at| queue(&name(at), "a")).collect();
    let all = Arc::new(Catalogue::new(all).expect("valid"));
    play.harness.apply(Command::Configure(all));
    for _ in 0..11 {
        (0..500).for_each(|queue| {
            play.jobs += 1;
            let spec = vec![step(1, 2_000)];
            play.harness.submit_to(queue, play.jobs, spec);
        });
        let effects = play.harness.tick(ms(200));
        play.observe(&effects);
    }
    let max = play.committed.iter().max().expect("committed");
    println!("{max} bytes");
    assert!((8 * 1_024..=16 * 1_024).contains(max), "{max} bytes");
}

fn fixed_state() -> ControlState {
    let mut state = ControlState::default();
    state.apply(1, Command::Bootstrapped);
    state.apply(2, Command::Configure(catalogue(1)));
    state.apply(3, Command::TakeOver { member: 1 });
    state.apply(4, Command::AddWorker(record("w1", "a")));
    let queue = state.catalogue.as_ref().expect("configured").queues[0].clone();
    let submit = Command::Submit {
        id: JobId(7),
        queue,
        customer: None,
        spec: job(vec![step(2, 100)]),
        arrived_ms: 1_000,
    };
    state.apply(5, submit);
    state.apply(6, ends("w1", vec![end(1, task(7, 0, 0), 1, EndKind::Done)]));
    state
}

/// The snapshot of `fixed_state`, written by the build before these statistics existed.
const EARLIER_SNAPSHOT: &[u8] = include_bytes!("data/snapshot-without-learned.bin");

#[test]
fn snapshot_without_statistics_is_that_of_earlier_builds() {
    assert_eq!(&*fixed_state().snapshot(), EARLIER_SNAPSHOT);
    let restored = ControlState::restore(EARLIER_SNAPSHOT).expect("readable");
    assert_eq!(restored, fixed_state());
}

/// With the switch off, statistics are neither committed nor used.
#[test]
fn switch_off_commits_nothing_and_restores_nothing() {
    let mut play = play_peak(Duration::ZERO);
    assert_eq!(play.committed, Vec::<usize>::new());
    assert_eq!(play.harness.state.learned, None);
    let mut on = play_peak(INTERVAL);
    play.harness.state.learned = on.harness.state.learned.take();
    play.replace_owner(ms(0));
    assert_eq!(play.objective_ms(), 1_250, "not that of the estimate");
}

fn learned() -> LearnedStats {
    LearnedStats {
        token: 3,
        written_ms: 10_000_000,
        covered_index: 5,
        observed_ms: 6_000,
        queues: vec![LearnedQueue {
            name: "q".into(),
            durations: LearnedDurations {
                tasks: 50,
                mean_log_estimate: 6.2,
                mean_log_duration: 6.9,
                estimate_variance: 0.5,
                duration_variance: 0.5,
                covariance: 0.4,
            },
            jobs: 30,
            usage: [2_000_000.0, 100_000.0, 1_000.0],
            arrivals: vec![1; 120],
        }],
    }
}

/// Earlier builds ignore bytes after the fields that they know.
#[test]
fn snapshot_with_statistics_only_adds_bytes_at_its_end() {
    let mut state = fixed_state();
    state.apply(7, Command::Learned(Box::new(learned())));
    assert_eq!(state.learned.as_deref(), Some(&learned()));
    let snapshot = state.snapshot();
    assert!(snapshot.starts_with(EARLIER_SNAPSHOT));
    // The decoder of earlier builds, which have the same other fields.
    let earlier: ControlState = postcard::from_bytes(&snapshot).expect("readable");
    assert_eq!(earlier, fixed_state());
    let restored = ControlState::restore(&snapshot).expect("readable");
    assert_eq!(restored, state);
}

/// A delayed command of an earlier owner must not replace newer statistics.
#[test]
fn apply_learned_of_an_earlier_owner_is_ignored() {
    let mut state = fixed_state();
    state.apply(7, Command::TakeOver { member: 2 });
    state.apply(8, Command::Learned(Box::new(learned())));
    assert_eq!(state.learned, None);
}

#[test]
fn command_learned_is_encoded_and_decoded() {
    let command = Command::Learned(Box::new(learned()));
    let decoded = Command::decode(&command.encode()).expect("readable");
    assert_eq!(decoded, command);
}

/// What a new owner rejects, and the objective of its next job.
fn takeover_with(learned: LearnedStats) -> (Vec<LearnedFault>, u64) {
    let mut play = Play::new(INTERVAL);
    play.harness.state.learned = Some(Box::new(learned));
    play.replace_owner(ms(100));
    let effects = play.harness.tick(TICK);
    let faults = logs(&effects).filter_map(|decision| match decision {
        Decision::LearnedRejected { fault, .. } => Some(*fault),
        _ => None,
    });
    let faults = faults.collect();
    (faults, play.objective_ms())
}

#[test]
fn takeover_with_valid_statistics_rejects_nothing() {
    let (faults, objective_ms) = takeover_with(learned());
    assert_eq!(faults, vec![]);
    assert!(objective_ms > 1_900, "{objective_ms}");
}

/// Guards against values that are not finite, negative or absurd, whatever wrote them: the
/// estimates are used, as without statistics.
#[test]
fn takeover_rejects_garbage() {
    type Fault = (LearnedFault, fn(&mut LearnedQueue));
    let faults: [Fault; 14] = [
        (LearnedFault::Durations, |q| {
            q.durations.mean_log_duration = f32::NAN;
        }),
        (LearnedFault::Durations, |q| {
            q.durations.mean_log_duration = f32::INFINITY;
        }),
        (LearnedFault::Durations, |q| {
            q.durations.mean_log_duration = 60.0;
        }),
        (LearnedFault::Durations, |q| {
            q.durations.mean_log_estimate = -1.0;
        }),
        (LearnedFault::Durations, |q| {
            q.durations.estimate_variance = -0.1;
        }),
        (LearnedFault::Durations, |q| {
            q.durations.duration_variance = 1e9;
        }),
        (LearnedFault::Durations, |q| {
            q.durations.duration_variance = f32::NAN;
        }),
        (LearnedFault::Durations, |q| q.durations.covariance = 40.0),
        (LearnedFault::Usage, |q| q.usage[0] = -1.0),
        (LearnedFault::Usage, |q| q.usage[1] = f32::NAN),
        (LearnedFault::Usage, |q| q.usage[2] = 1e30),
        (LearnedFault::Usage, |q| q.usage[0] = f32::INFINITY),
        (LearnedFault::Arrivals, |q| q.arrivals = vec![1; 121]),
        (LearnedFault::Arrivals, |q| q.arrivals[3] = 200),
    ];
    for (number, (fault, spoil)) in faults.into_iter().enumerate() {
        let mut garbage = learned();
        spoil(&mut garbage.queues[0]);
        let rejected = takeover_with(garbage);
        assert_eq!(rejected, (vec![fault], 1_250), "fault {number}");
    }
}

#[test]
fn snapshot_with_unreadable_statistics_is_restored_without_them() {
    let bytes = [EARLIER_SNAPSHOT, &[0xff; 12]].concat();
    let state = ControlState::restore(&bytes).expect("readable");
    assert_eq!(state.jobs, fixed_state().jobs);
    let learned = *state.learned.expect("marked as unreadable");
    assert_eq!(
        takeover_with(learned),
        (vec![LearnedFault::Unreadable], 1_250)
    );
}
