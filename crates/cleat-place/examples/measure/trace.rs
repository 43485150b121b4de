//! Traces as JSON lines, with the outcome that each must have beside it.

use std::path::Path;
use std::time::Duration;

use cleat_place::{JobSpec, Priority, Protections, Size, Terms, WorkerSpec};
use indexmap::IndexMap;
use serde::Deserialize;

use crate::platform::{Platform, Truth};

#[derive(Debug, Deserialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    event: Happening,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Happening {
    Team { name: Box<str>, quota: Option<Size> },
    Workers(Workers),
    Jobs(Jobs),
    Cancel { prefix: Box<str> },
    Cut { prefix: Box<str> },
    Heal { prefix: Box<str> },
    Restart { prefix: Box<str> },
    Withdraw { prefix: Box<str>, within_ms: u64 },
    End,
}

/// Some equal workers.
#[derive(Debug, Deserialize)]
struct Workers {
    prefix: Box<str>,
    count: usize,
    capacity: Size,
    #[serde(default)]
    bad: bool,
}

/// Some equal jobs, submitted at once.
#[derive(Debug, Deserialize)]
struct Jobs {
    prefix: Box<str>,
    count: usize,
    team: Box<str>,
    class: Box<str>,
    declared: Size,
    /// As declared if absent.
    used: Option<Size>,
    run_ms: u64,
    /// As it really runs if absent.
    expected_ms: Option<u64>,
    #[serde(default)]
    urgent: bool,
    #[serde(default)]
    checkpointable: bool,
    #[serde(default)]
    fails: bool,
}

/// What a trace must come to.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Outcome {
    finished: Option<usize>,
    cancelled: Option<usize>,
    /// The limits of the refused jobs, in their order.
    refused: Vec<String>,
    unfinished: Option<usize>,
    /// How many jobs whose names begin so have finished.
    finished_of: IndexMap<Box<str>, usize>,
    urgent_started: usize,
    urgent_start_ms_max: Option<u64>,
    out_of_memory_max: Option<usize>,
    failures_max: Option<u64>,
    quarantines: Option<u64>,
    parkings: Option<u64>,
    moves_max: Option<u64>,
    lost_work_ms_max: Option<u64>,
    used_processors_percent_min: Option<u64>,
}

/// Replays a trace and gives the platform at its end with the faults found.
pub(crate) fn replay(path: &Path, protections: Protections) -> (Platform, Vec<String>) {
    let terms = Terms {
        protections,
        ..Terms::default()
    };
    let mut platform = Platform::new(terms, 7);
    let text = std::fs::read_to_string(path).expect("the trace can be read");
    for line in text.lines() {
        let line: Line = serde_json::from_str(line).expect("the trace is whole");
        platform.run_until(Duration::from_millis(line.at_ms));
        happen(&mut platform, line.event);
    }
    let text = std::fs::read_to_string(path.with_extension("outcome.json"));
    let text = text.expect("the outcome can be read");
    let outcome: Outcome = serde_json::from_str(&text).expect("the outcome is whole");
    let faults = outcome.faults(&platform);
    (platform, faults)
}

fn happen(platform: &mut Platform, event: Happening) {
    match event {
        Happening::Team { name, quota } => platform.team(&name, quota),
        Happening::Workers(workers) => add_workers(platform, &workers),
        Happening::Jobs(jobs) => submit(platform, &jobs),
        Happening::Cancel { prefix } => platform.cancel(&prefix),
        Happening::Cut { prefix } => platform.set_cut(&prefix, true),
        Happening::Heal { prefix } => platform.set_cut(&prefix, false),
        Happening::Restart { prefix } => platform.restart(&prefix),
        Happening::Withdraw { prefix, within_ms } => {
            platform.withdraw(&prefix, Duration::from_millis(within_ms));
        }
        Happening::End => {}
    }
}

fn add_workers(platform: &mut Platform, workers: &Workers) {
    for index in 0..workers.count {
        let spec = WorkerSpec {
            name: format!("{}{index}", workers.prefix).into(),
            data_centre: "dc1".into(),
            rack: format!("k{}", index / 4).into(),
            capacity: workers.capacity,
            incarnation: 1,
        };
        platform.worker(spec, workers.bad);
    }
}

fn submit(platform: &mut Platform, jobs: &Jobs) {
    let team = platform.placement.team(&jobs.team);
    let team = team.expect("the trace names a team");
    for index in 0..jobs.count {
        let spec = JobSpec {
            name: format!("{}{index}", jobs.prefix).into(),
            team,
            class: jobs.class.clone(),
            declared: jobs.declared,
            priority: if jobs.urgent {
                Priority::Urgent
            } else {
                Priority::Normal
            },
            checkpointable: jobs.checkpointable,
            expected_run: Duration::from_millis(jobs.expected_ms.unwrap_or(jobs.run_ms)),
        };
        let truth = Truth {
            used: jobs.used.unwrap_or(jobs.declared),
            run: Duration::from_millis(jobs.run_ms),
            fails: jobs.fails,
            checkpointable: jobs.checkpointable,
        };
        platform.submit(spec, truth);
    }
}

impl Outcome {
    fn faults(&self, platform: &Platform) -> Vec<String> {
        let tally = &platform.tally;
        let stats = platform.placement.stats();
        let mut faults = tally.faults.clone();
        let mut expect = |ok: bool, text: String| {
            if !ok {
                faults.push(text);
            }
        };
        let unfinished = platform.placement.jobs().count();
        let refused: Vec<_> = tally.refused.iter().map(|l| format!("{l:?}")).collect();
        let urgent = tally.urgent_start_ms.len();
        let slowest = tally.urgent_start_ms.iter().copied().max().unwrap_or(0);
        let lost = u64::try_from(tally.lost_work.as_millis()).unwrap_or(u64::MAX);
        let used = tally.used[0] * 100 / tally.capacity[0].max(1);
        let exact = [
            ("finished", self.finished, tally.finished),
            ("cancelled", self.cancelled, tally.cancelled),
            ("unfinished", self.unfinished, unfinished),
            ("urgent started", Some(self.urgent_started), urgent),
        ];
        for (what, wanted, found) in exact {
            let ok = wanted.is_none_or(|wanted| wanted == found);
            expect(ok, format!("{what}: {found}"));
        }
        let exact = [
            ("quarantines", self.quarantines, stats.quarantines),
            ("parkings", self.parkings, stats.parkings),
        ];
        for (what, wanted, found) in exact {
            let ok = wanted.is_none_or(|wanted| wanted == found);
            expect(ok, format!("{what}: {found}"));
        }
        for (prefix, wanted) in &self.finished_of {
            let named = platform
                .jobs
                .iter()
                .filter(|(n, _)| n.starts_with(&**prefix));
            let found = named.filter(|(_, job)| job.finished).count();
            expect(found == *wanted, format!("finished of {prefix}: {found}"));
        }
        let unpaid = tally.unpaid_moves;
        expect(unpaid == 0, format!("moves that do not pay: {unpaid}"));
        let most = [
            ("urgent start ms", self.urgent_start_ms_max, slowest),
            ("failures", self.failures_max, stats.failures),
            ("moves", self.moves_max, stats.moves.total()),
            ("lost work ms", self.lost_work_ms_max, lost),
        ];
        for (what, wanted, found) in most {
            let ok = wanted.is_none_or(|most| found <= most);
            expect(ok, format!("{what}: {found}"));
        }
        let killed = tally.out_of_memory;
        let ok = self.out_of_memory_max.is_none_or(|most| killed <= most);
        expect(ok, format!("out of memory: {killed}"));
        let ok = self
            .used_processors_percent_min
            .is_none_or(|min| used >= min);
        expect(ok, format!("used processors percent: {used}"));
        expect(self.refused == refused, format!("refused: {refused:?}"));
        faults
    }
}
