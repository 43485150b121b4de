//! Steps that can't be placed, and what they mean for the steps behind them.
//!
//! Guards against a pool that starts nothing more: a scheduling pass ended after twelve
//! steps without a place, whatever they waited for. Twelve accepted jobs that fit on no
//! worker kept all other jobs of their pool from starting, for as long as they were there.

mod support;

use std::sync::Arc;
use std::time::Duration;

use cleat_jobs::{
    AdviceTiming, Command, Decision, Effect, EndKind, Event, Heartbeat, JobId, OrderAnswer,
    RenewalAnswer, Size, StepSpec, TaskOrder, WaitReason, WorkerRecord,
};
use indexmap::IndexMap;
use support::{Harness, advice, end, ended, job, queue, record, running, starts, step, task};

/// More than the number of steps without a place that ends a pass.
const BLOCKERS: u64 = 20;
/// The id of the job that has to start, and of the first of the jobs before it.
const SHORT: u64 = 1_000;
const FIRST_BLOCKER: u64 = 100;
const TICK: Duration = Duration::from_millis(50);
/// The time after which the users' rules count a job as lost that could start and has not.
const START_LIMIT: Duration = Duration::from_secs(3);

fn lasting(spec: StepSpec) -> StepSpec {
    StepSpec {
        long_running: true,
        ..spec
    }
}

fn sized(size: Size) -> StepSpec {
    StepSpec { size, ..step(1, 0) }
}

fn labelled(label: &str, cpu_milli: u64) -> StepSpec {
    StepSpec {
        required_label: Some(label.into()),
        ..step(1, cpu_milli)
    }
}

fn spread(count: u32, cpu_milli: u64) -> StepSpec {
    StepSpec {
        max_per_worker: Some(1),
        ..step(count, cpu_milli)
    }
}

fn gang(count: u32, cpu_milli: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli)
    }
}

fn submit_blockers(harness: &mut Harness, spec: &StepSpec) -> Vec<Effect> {
    let ids = FIRST_BLOCKER..FIRST_BLOCKER + BLOCKERS;
    ids.flat_map(|id| harness.submit(id, vec![spec.clone()]))
        .collect()
}

fn started_jobs(effects: &[Effect]) -> Vec<u64> {
    let jobs = starts(effects).into_iter();
    jobs.map(|(_, order)| order.task.job().0).collect()
}

/// Jobs with this step are submitted, then a short one, which has to start at once.
fn assert_short_job_starts_behind(blocker: &StepSpec) {
    let mut harness = Harness::new();
    submit_blockers(&mut harness, blocker);
    let effects = harness.submit(SHORT, vec![step(1, 100)]);
    assert_eq!(started_jobs(&effects), [SHORT]);
}

#[test]
fn short_job_starts_behind_jobs_with_too_much_processor_time() {
    assert_short_job_starts_behind(&lasting(step(1, 40_000)));
}

#[test]
fn short_job_starts_behind_jobs_with_too_much_memory() {
    assert_short_job_starts_behind(&lasting(sized(Size {
        cpu_milli: 100,
        memory_mb: 20_000,
        gpu: 0,
    })));
}

#[test]
fn short_job_starts_behind_jobs_with_a_label_that_no_worker_has() {
    assert_short_job_starts_behind(&lasting(labelled("missing", 100)));
}

/// One of three tasks of each job waits, since each of two workers may run one.
#[test]
fn short_job_starts_behind_jobs_that_run_on_each_worker_already() {
    assert_short_job_starts_behind(&lasting(spread(3, 100)));
}

#[test]
fn short_job_starts_behind_gangs_larger_than_the_pool() {
    assert_short_job_starts_behind(&lasting(gang(5, 4_000)));
}

/// What earlier lasting jobs leave free is never enough.
#[test]
fn short_job_starts_behind_jobs_that_lasting_runs_leave_no_room_for() {
    let mut harness = Harness::new();
    harness.submit(1, vec![lasting(spread(2, 5_000))]);
    submit_blockers(&mut harness, &lasting(step(1, 4_000)));
    let effects = harness.submit(SHORT, vec![step(1, 100)]);
    assert_eq!(started_jobs(&effects), [SHORT]);
}

/// Work that ends by itself goes ahead of other work if it is due earlier.
#[test]
fn short_job_starts_behind_jobs_that_end_and_are_due_earlier() {
    for blocker in [step(1, 40_000), gang(5, 4_000), labelled("missing", 100)] {
        let mut harness = Harness::new();
        submit_blockers(&mut harness, &blocker);
        harness.tick(Duration::from_millis(100));
        let effects = harness.submit(SHORT, vec![step(1, 100)]);
        assert_eq!(started_jobs(&effects), [SHORT]);
    }
}

#[test]
fn short_job_starts_behind_jobs_of_a_higher_priority() {
    let mut harness = Harness::new();
    for id in FIRST_BLOCKER..FIRST_BLOCKER + BLOCKERS {
        harness.submit(id, vec![step(1, 40_000)]);
    }
    let mut low = queue("low", "a");
    low.priority = 5;
    let effects = harness.apply(Command::Submit {
        id: JobId(SHORT),
        queue: Arc::new(low),
        customer: None,
        spec: job(vec![step(1, 100)]),
        arrived_ms: 0,
    });
    assert_eq!(started_jobs(&effects), [SHORT]);
}

/// The adviser has not answered for these jobs.
#[test]
fn short_job_starts_behind_jobs_that_wait_for_permission() {
    let mut harness = Harness::new();
    let mut asked = 0;
    for id in FIRST_BLOCKER..FIRST_BLOCKER + BLOCKERS {
        asked += advice(&submit_advised(&mut harness, id)).len();
    }
    assert_eq!(asked, 8, "calls at the same time");
    let effects = harness.submit(SHORT, vec![step(1, 100)]);
    assert_eq!(started_jobs(&effects), [SHORT]);
}

fn submit_advised(harness: &mut Harness, id: u64) -> Vec<Effect> {
    let mut advised = queue("q", "a");
    advised.advice = Some(AdviceTiming {
        decision_ms: 20,
        per_worker_us: 1_000,
        validity_ms: 3_000,
    });
    harness.apply(Command::Submit {
        id: JobId(id),
        queue: Arc::new(advised),
        customer: None,
        spec: job(vec![step(1, 1_000)]),
        arrived_ms: 0,
    })
}

/// Each answer of the adviser lets the next job ask, and those that it permits start.
#[test]
fn each_advised_job_asks_in_its_turn() {
    let mut harness = Harness::new();
    let mut open = Vec::new();
    for id in FIRST_BLOCKER..FIRST_BLOCKER + BLOCKERS {
        open.extend(advice(&submit_advised(&mut harness, id)));
    }
    let mut started = Vec::new();
    while let Some((step, asked)) = open.pop() {
        let names = asked.iter().cloned();
        let permitted = Some(names.map(|name| (name, "ticket".into())).collect());
        let sent_at = harness.now;
        let effects = harness.feed(Event::Advised {
            step,
            sent_at,
            asked,
            permitted,
        });
        open.extend(advice(&effects));
        started.extend(started_jobs(&effects));
    }
    // The two workers have eight cores each.
    assert_eq!(started.len(), 16);
}

/// Capacity that comes free accumulates until one of the large tasks starts.
#[test]
fn capacity_accumulates_for_large_tasks() {
    let mut harness = Harness::with_workers(&["w1"]);
    let mut runs = starts(&harness.submit(1, vec![step(8, 1_000)]));
    for (worker, order) in &runs {
        harness.answer(worker, order, OrderAnswer::Done);
    }
    submit_blockers(&mut harness, &lasting(step(1, 4_000)));
    let mut started = Vec::new();
    for number in 1..=4 {
        started.extend(started_jobs(
            &harness.submit(SHORT + number, vec![step(1, 100)]),
        ));
        let (_, ending) = runs.remove(0);
        let answer = RenewalAnswer {
            running: runs
                .iter()
                .map(|(_, run)| running(run.task, run.run.0))
                .collect(),
            ..ended(vec![end(number, ending.task, ending.run.0, EndKind::Done)])
        };
        let listed = harness.answer_renewal("w1", answer);
        let committed = harness.commit(&listed);
        started.extend(started_jobs(&[listed, committed].concat()));
    }
    assert_eq!(started, [FIRST_BLOCKER]);
}

/// The worker lists no runs but this end, which is then committed.
fn finish(harness: &mut Harness, worker: &str, end: cleat_jobs::TaskEnd) -> Vec<Effect> {
    let answer = ended(vec![end]);
    let listed = harness.answer_renewal(worker, answer);
    let committed = harness.commit(&listed);
    [listed, committed].concat()
}

/// Jobs that need a whole worker wait for long runs that use a quarter of each.
#[test]
fn capacity_is_not_withheld_for_long_runs() {
    let mut harness = Harness::new();
    let runs = starts(&harness.submit(1, vec![spread(2, 2_000)]));
    for (worker, order) in &runs {
        harness.answer(worker, order, OrderAnswer::Done);
    }
    submit_blockers(&mut harness, &lasting(step(1, 8_000)));
    harness.submit(SHORT, vec![step(1, 100)]);
    let until = harness.now + START_LIMIT;
    let mut started = Vec::new();
    while harness.now < until {
        for (worker, order) in &runs {
            let answer = RenewalAnswer {
                running: vec![running(order.task, order.run.0)],
                ..RenewalAnswer::default()
            };
            started.extend(started_jobs(&harness.answer_renewal(worker, answer)));
        }
        started.extend(started_jobs(&harness.tick(TICK)));
    }
    assert_eq!(started, [SHORT]);
}

/// Tasks of 5 s keep a pool full, and jobs that need a whole worker wait ahead of more of
/// them. They get their turn though no capacity of that size comes free within some seconds.
#[test]
fn whole_workers_are_emptied_of_long_tasks() {
    let mut harness = Harness::with_workers(&["w1", "w2"]);
    let mut pool = LongTasks::default();
    let effects = harness.submit(1, vec![step(80, 1_000)]);
    pool.record(&mut harness, &effects);
    submit_blockers(&mut harness, &lasting(step(1, 8_000)));
    let until = harness.now + 4 * LONG_TASK;
    while harness.now < until && pool.large.is_empty() {
        let effects = harness.tick(TICK);
        pool.record(&mut harness, &effects);
        for worker in ["w1", "w2"] {
            pool.end_due(&mut harness, worker);
        }
    }
    assert_eq!(pool.large.first(), Some(&FIRST_BLOCKER));
}

/// How long a task of one core runs.
const LONG_TASK: Duration = Duration::from_secs(5);

/// The runs of tasks of one core with the time of their end, and the larger jobs that started beside them.
#[derive(Default)]
struct LongTasks {
    runs: Vec<(Duration, Box<str>, TaskOrder)>,
    /// The number of the last end that each worker listed.
    ends: IndexMap<Box<str>, u64>,
    large: Vec<u64>,
    /// The number of tasks of one core that each worker was sent.
    started: IndexMap<Box<str>, u32>,
}

impl LongTasks {
    fn record(&mut self, harness: &mut Harness, effects: &[Effect]) {
        for (worker, order) in starts(effects) {
            harness.answer(&worker, &order, OrderAnswer::Done);
            match order.task.job().0 {
                1 => {
                    let ends_at = harness.now + self.next_span(&worker);
                    self.runs.push((ends_at, worker, order));
                }
                large => self.large.push(large),
            }
        }
    }

    /// The tasks that fill a worker end one after the other, and later ones after 5 s.
    fn next_span(&mut self, worker: &str) -> Duration {
        let started = self.started.entry(worker.into()).or_default();
        *started += 1;
        LONG_TASK.min(LONG_TASK * *started / 8)
    }

    /// Lists the runs of a worker, with the end of one that is due.
    fn end_due(&mut self, harness: &mut Harness, worker: &str) {
        let now = harness.now;
        let due = |(at, on, _): &(Duration, Box<str>, TaskOrder)| &**on == worker && now >= *at;
        let ended = self
            .runs
            .iter()
            .position(due)
            .map(|at| self.runs.remove(at));
        let number = self.ends.entry(worker.into()).or_default();
        let ends = ended.map(|(_, _, order)| {
            *number += 1;
            end(*number, order.task, order.run.0, EndKind::Done)
        });
        let runs = self.runs.iter().filter(|(_, on, _)| &**on == worker);
        let answer = RenewalAnswer {
            running: runs
                .map(|(_, _, order)| running(order.task, order.run.0))
                .collect(),
            ..ended_list(ends)
        };
        let listed = harness.confirm_renewal(worker, 0, answer);
        let committed = harness.commit(&listed);
        self.record(harness, &[listed, committed].concat());
    }
}

fn ended_list(ends: Option<cleat_jobs::TaskEnd>) -> RenewalAnswer {
    ended(ends.into_iter().collect())
}

fn with_capacity(name: &str, cpu_milli: u64) -> WorkerRecord {
    let mut record = record(name, "a");
    record.capacity.cpu_milli = cpu_milli;
    record
}

fn join(harness: &mut Harness, record: WorkerRecord) -> Vec<Effect> {
    let name = record.name.clone();
    harness.heartbeat(record);
    let effects = harness.answer_renewal(&name, RenewalAnswer::default());
    let committed = harness.commit(&effects);
    [effects, committed].concat()
}

#[test]
fn step_without_a_place_starts_when_a_larger_worker_joins() {
    let mut harness = Harness::new();
    submit_blockers(&mut harness, &lasting(step(1, 40_000)));
    harness.tick(TICK);
    let effects = join(&mut harness, with_capacity("w3", 90_000));
    assert_eq!(started_jobs(&effects), [FIRST_BLOCKER, FIRST_BLOCKER + 1]);
}

#[test]
fn step_without_a_place_starts_when_a_worker_grows() {
    let mut harness = Harness::new();
    submit_blockers(&mut harness, &lasting(step(1, 40_000)));
    harness.tick(TICK);
    let effects = harness.feed(Event::Heartbeat(Heartbeat {
        record: with_capacity("w2", 90_000),
        draining: false,
        sequence: 2,
    }));
    assert_eq!(started_jobs(&effects), [FIRST_BLOCKER, FIRST_BLOCKER + 1]);
}

#[test]
fn step_without_a_place_starts_when_a_worker_with_its_label_joins() {
    let mut harness = Harness::new();
    submit_blockers(&mut harness, &lasting(labelled("missing", 4_000)));
    harness.tick(TICK);
    let mut labelled = record("w3", "a");
    labelled.labels.push("missing".into());
    let effects = join(&mut harness, labelled);
    assert_eq!(started_jobs(&effects), [FIRST_BLOCKER, FIRST_BLOCKER + 1]);
}

#[test]
fn step_without_a_place_starts_when_its_worker_answers_again() {
    let mut harness = Harness::new();
    join(&mut harness, with_capacity("w3", 90_000));
    harness.fail_renewal("w3");
    submit_blockers(&mut harness, &lasting(step(1, 40_000)));
    harness.tick(TICK);
    let effects = harness.answer_renewal("w3", RenewalAnswer::default());
    assert_eq!(started_jobs(&effects), [FIRST_BLOCKER, FIRST_BLOCKER + 1]);
}

#[test]
fn step_without_a_place_starts_when_a_lasting_job_is_cancelled() {
    let mut harness = Harness::new();
    let effects = harness.submit(1, vec![lasting(spread(2, 5_000))]);
    let started = starts(&effects);
    for (worker, order) in &started {
        harness.answer(worker, order, OrderAnswer::Done);
    }
    submit_blockers(&mut harness, &lasting(step(1, 4_000)));
    harness.tick(TICK);
    harness.apply(Command::Cancel { id: JobId(1) });
    let (worker, order) = &started[0];
    let stopped = end(1, order.task, order.run.0, EndKind::Stopped);
    let effects = finish(&mut harness, worker, stopped);
    assert_eq!(started_jobs(&effects), [FIRST_BLOCKER, FIRST_BLOCKER + 1]);
}

/// A job with one task on each worker starts the next one when one of them ends.
#[test]
fn step_with_its_maximum_on_each_worker_starts_when_one_ends() {
    let mut harness = Harness::new();
    submit_blockers(&mut harness, &lasting(step(1, 40_000)));
    let started = starts(&harness.submit(SHORT, vec![spread(3, 100)]));
    harness.tick(TICK);
    let (worker, order) = &started[0];
    harness.answer(worker, order, OrderAnswer::Done);
    let done = end(1, order.task, order.run.0, EndKind::Done);
    let effects = finish(&mut harness, worker, done);
    assert_eq!(started_jobs(&effects), [SHORT]);
}

/// More steps without a place than a pass examines do not hold up the one that fits.
#[test]
fn one_step_of_thousands_starts_when_a_worker_that_suits_it_joins() {
    let mut harness = Harness::new();
    for id in 0..3_000 {
        harness.submit(FIRST_BLOCKER + id, vec![lasting(step(1, 100_000))]);
    }
    harness.submit(9_000, vec![lasting(step(1, 40_000))]);
    for id in 0..3_000 {
        harness.submit(10_000 + id, vec![lasting(step(1, 100_000))]);
    }
    let effects = join(&mut harness, with_capacity("w3", 50_000));
    assert_eq!(started_jobs(&effects), [9_000]);
}

#[test]
fn wait_without_a_suitable_worker_is_logged_once() {
    let mut harness = Harness::new();
    let mut effects = harness.submit(1, vec![lasting(labelled("missing", 100))]);
    effects.extend(harness.tick(TICK));
    effects.extend(harness.submit(2, vec![step(1, 100)]));
    let waits = effects.iter().filter_map(|effect| match effect {
        Effect::Log(Decision::StepWaits { step, reason, .. }) => Some((step.to_string(), *reason)),
        _ => None,
    });
    let step = task(1, 0, 0).step.to_string();
    assert_eq!(waits.collect::<Vec<_>>(), [(step, WaitReason::Unsuitable)]);
}

#[test]
fn limited_pass_is_logged_with_what_it_did_not_examine() {
    let mut harness = Harness::new();
    harness.submit(1, vec![step(2, 8_000)]);
    submit_blockers(&mut harness, &lasting(step(1, 4_000)));
    let effects = harness.tick(Duration::from_secs(1));
    let limited = effects.iter().find_map(|effect| match effect {
        Effect::Log(Decision::PassLimited {
            unplaced,
            next_step,
            ..
        }) => Some((unplaced.clone(), next_step.clone())),
        _ => None,
    });
    let next = task(FIRST_BLOCKER + 12, 0, 0).step.to_string();
    let unplaced = vec![(WaitReason::Capacity, 12)];
    assert_eq!(limited, Some((unplaced, next.into())));
}
