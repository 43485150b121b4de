//! How long decisions take, and how large the state is.

use std::time::{Duration, Instant};

use cleat_place::{
    Effect, Event, JobSpec, JobView, Placement, Priority, Report, Size, TaskId, TaskUsage, Terms,
    WorkerId, WorkerSpec,
};
use hdrhistogram::Histogram;

const FLEETS: [usize; 3] = [50, 200, 1100];
const TEAMS: usize = 150;
/// Tasks of one processor that fill a worker.
const FULL: usize = 32;
/// How often each event is timed.
const ROUNDS: usize = 2000;
/// A tick is dearer, and is timed less often.
const TICKS: usize = 200;
/// The longest time that is told apart: a minute.
const LONGEST_NANOS: u64 = 60_000_000_000;
const ONE: Size = Size {
    processors: 1000,
    memory: 4096,
    accelerators: 0,
};
const FOUR: Size = Size {
    processors: 4000,
    memory: 16384,
    accelerators: 0,
};

struct Fleet {
    placement: Placement,
    now: Duration,
    jobs: usize,
}

impl Fleet {
    /// Workers filled to `filled` tasks each.
    fn new(workers: usize, filled: usize) -> Fleet {
        let mut fleet = Fleet::empty(workers);
        fleet.fill(workers * filled);
        assert_eq!(fleet.tasks().len(), workers * filled, "all were placed");
        fleet
    }

    fn empty(workers: usize) -> Fleet {
        let terms = Terms {
            calls_per_tick: usize::MAX,
            tried_per_team: usize::MAX,
            ..Terms::default()
        };
        let mut fleet = Fleet {
            placement: Placement::new(terms, 3),
            now: Duration::ZERO,
            jobs: 0,
        };
        for team in 0..TEAMS {
            let name = format!("team{team}").into();
            fleet.tell(Event::TeamSet { name, quota: None });
        }
        for worker in 0..workers {
            fleet.tell(Event::WorkerUp(spec(worker)));
        }
        fleet
    }

    fn fill(&mut self, jobs: usize) {
        // Only two jobs of a class start before one reports its use.
        for _ in 0..TEAMS {
            self.submit(ONE, Priority::Normal);
        }
        self.settle();
        for _ in TEAMS..jobs {
            self.submit(ONE, Priority::Normal);
        }
        self.settle();
    }

    /// Starts what waits, and lets every worker report.
    fn settle(&mut self) {
        self.pass(Duration::from_millis(500));
        let effects = self.tell(Event::Tick);
        self.confirm(&effects);
        self.pass(Duration::from_secs(4));
        for worker in self.placement.workers().collect::<Vec<_>>() {
            let report = self.report(worker);
            self.tell(Event::Reported(report));
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    fn tell(&mut self, event: Event) -> Vec<Effect> {
        self.placement.step(event, self.now)
    }

    fn confirm(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Start { task, .. } = effect {
                self.tell(Event::TaskStarted(*task));
            }
        }
    }

    fn job(&mut self, size: Size, priority: Priority) -> Event {
        let team = format!("team{}", self.jobs % TEAMS);
        let team = self.placement.team(&team).expect("the team is known");
        self.jobs += 1;
        Event::JobSubmitted(JobSpec {
            name: format!("job{}", self.jobs).into(),
            team,
            class: "usual".into(),
            declared: size,
            priority,
            checkpointable: true,
            expected_run: Duration::from_secs(3600),
        })
    }

    fn submit(&mut self, size: Size, priority: Priority) -> Vec<Effect> {
        let event = self.job(size, priority);
        self.tell(event)
    }

    fn tasks(&self) -> Vec<(TaskId, WorkerId)> {
        let jobs = self.placement.jobs();
        let placed = jobs.filter_map(|job| match self.placement.job_view(job) {
            Some(JobView::Placed { task, worker, .. }) => Some((task, worker)),
            _ => None,
        });
        placed.collect()
    }

    fn report(&self, worker: WorkerId) -> Report {
        let tasks = self.tasks().into_iter();
        let here = tasks.filter(|(_, at)| *at == worker);
        let usage = here.map(|(task, ..)| TaskUsage { task, used: ONE });
        Report {
            worker,
            incarnation: 1,
            measured_at: self.now,
            usage: usage.collect(),
        }
    }

    /// Times one event and gives its effects.
    fn time(&mut self, event: Event, times: &mut Histogram<u64>) -> Vec<Effect> {
        let before = Instant::now();
        let effects = self.placement.step(event, self.now);
        let nanos = u64::try_from(before.elapsed().as_nanos()).unwrap_or(u64::MAX);
        times.saturating_record(nanos);
        effects
    }
}

fn spec(worker: usize) -> WorkerSpec {
    WorkerSpec {
        name: format!("worker{worker}").into(),
        data_centre: "dc1".into(),
        rack: format!("rack{}", worker / 4).into(),
        capacity: Size {
            processors: 32_000,
            memory: 131_072,
            accelerators: 0,
        },
        incarnation: 1,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_NANOS, 3).expect("the bounds are in order")
}

pub(crate) fn measure() {
    let mut medians: Vec<Vec<(&str, u64)>> = Vec::new();
    for workers in FLEETS {
        println!("{workers} workers, {TEAMS} teams, {} tasks", workers * 28);
        let rows = [
            ("report of a worker", reports(workers)),
            ("urgent job, room free", urgent(workers, 28)),
            ("urgent job, fleet full", urgent(workers, FULL)),
            ("normal job submitted", submitted(workers)),
            ("task finished", finished(workers)),
            ("tick starting 64 jobs", ticks(workers)),
            ("tick, nothing to do", idle(workers)),
        ];
        let mut column = Vec::new();
        for (what, times) in rows {
            let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
            println!(
                "  {what:<24} p50 {p50:>9} ns  p99 {p99:>9} ns  n {}",
                times.len()
            );
            column.push((what, p50));
        }
        medians.push(column);
        bytes(workers);
    }
    slopes(&medians);
}

fn slopes(medians: &[Vec<(&str, u64)>]) {
    let (Some(small), Some(large)) = (medians.first(), medians.last()) else {
        return;
    };
    let more = FLEETS[FLEETS.len() - 1] - FLEETS[0];
    println!(
        "slope of the median from {} to {} workers",
        FLEETS[0], FLEETS[2]
    );
    for ((what, least), (_, most)) in small.iter().zip(large) {
        let slope = (*most as f64 - *least as f64) / more as f64;
        println!("  {what:<24} {slope:>9.2} ns a worker");
    }
}

fn reports(workers: usize) -> Histogram<u64> {
    let mut fleet = Fleet::new(workers, 28);
    let ids: Vec<_> = fleet.placement.workers().take(50).collect();
    let reports: Vec<_> = ids.into_iter().map(|id| fleet.report(id)).collect();
    let mut times = histogram();
    for round in 0..ROUNDS {
        fleet.pass(Duration::from_millis(1));
        let report = reports[round % reports.len()].clone();
        fleet.time(Event::Reported(report), &mut times);
    }
    times
}

/// Each urgent job is cancelled and its worker put as it was.
fn urgent(workers: usize, filled: usize) -> Histogram<u64> {
    let mut times = histogram();
    let mut fleet = Fleet::new(workers, filled);
    // Classes must be known, or the first ones differ from the rest.
    for _ in 0..ROUNDS {
        let event = fleet.job(FOUR, Priority::Urgent);
        let name = match &event {
            Event::JobSubmitted(spec) => spec.name.clone(),
            _ => continue,
        };
        let effects = fleet.time(event, &mut times);
        let Some(job) = fleet.placement.job(&name) else {
            continue;
        };
        fleet.tell(Event::JobCancelled(job));
        undo(&mut fleet, &effects);
    }
    times
}

/// Ends what was started and puts back what was checkpointed.
fn undo(fleet: &mut Fleet, effects: &[Effect]) {
    for effect in effects {
        match effect {
            Effect::Start { task, .. } => {
                fleet.tell(Event::TaskStopped(*task));
            }
            Effect::Checkpoint { task, .. } => {
                fleet.tell(Event::TaskCheckpointed(*task));
            }
            _ => {}
        }
    }
    let effects = fleet.tell(Event::Tick);
    fleet.confirm(&effects);
}

fn submitted(workers: usize) -> Histogram<u64> {
    let mut fleet = Fleet::new(workers, 28);
    let mut times = histogram();
    for _ in 0..ROUNDS {
        let event = fleet.job(ONE, Priority::Normal);
        fleet.time(event, &mut times);
    }
    times
}

fn finished(workers: usize) -> Histogram<u64> {
    let mut fleet = Fleet::new(workers, 28);
    let mut times = histogram();
    let tasks = fleet.tasks();
    for (task, ..) in tasks.into_iter().take(ROUNDS.min(workers * 14)) {
        fleet.time(Event::TaskFinished(task), &mut times);
    }
    times
}

fn ticks(workers: usize) -> Histogram<u64> {
    let mut fleet = Fleet::new(workers, 24);
    let mut times = histogram();
    for _ in 0..TICKS {
        for _ in 0..64 {
            fleet.submit(ONE, Priority::Normal);
        }
        let effects = fleet.time(Event::Tick, &mut times);
        fleet.confirm(&effects);
        for effect in effects {
            if let Effect::Start { task, .. } = effect {
                fleet.tell(Event::TaskFinished(task));
            }
        }
    }
    times
}

fn idle(workers: usize) -> Histogram<u64> {
    let mut fleet = Fleet::new(workers, 28);
    let mut times = histogram();
    for _ in 0..ROUNDS {
        fleet.pass(Duration::from_micros(10));
        fleet.time(Event::Tick, &mut times);
    }
    times
}

fn bytes(workers: usize) {
    let fleet = Fleet::new(workers, 28);
    let footprint = fleet.placement.footprint();
    let jobs = fleet.placement.jobs().count();
    println!(
        "  state: {} B a worker, {} B a job, {} B a team; {} KiB in all",
        footprint.workers / workers,
        footprint.jobs / jobs.max(1),
        footprint.teams / TEAMS,
        (footprint.workers + footprint.jobs + footprint.teams) / 1024
    );
}
