//! What a run gave, against what is stated.

use std::fs;
use std::path::Path;
use std::time::Duration;

use cleat_decide::{FinalOutcome, Protections, RefusalReason};
use indexmap::IndexMap;
use serde::Deserialize;
use snafu::ResultExt;

use crate::engine::Engine;
use crate::request::{Policy, Request};
use crate::trace::{ParseSnafu, ReadSnafu, Trace, TraceError};

/// An answer may leave this much after the deadline.
const LATE_MAX: Duration = Duration::from_millis(1);
/// Fewer refusals than this say nothing about their spread.
const SPREAD_SAMPLE_MIN: usize = 50;
/// Successful answers start below this status.
const STATUS_FAILED: u16 = 500;

/// The stated outcome of a trace; the invariants hold for every trace.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Stated {
    tries_per_request_max: Option<f64>,
    /// Requests with a good answer of a target, by caller, in percent.
    good_percent_min: IndexMap<Box<str>, f64>,
    p99_ms_max: IndexMap<Box<str>, f64>,
    unknown_percent_max: Option<f64>,
    /// Of all refusals, those told to come back in the same second.
    returns_in_one_second_percent_max: Option<f64>,
    /// Requests refused for their quota, at least.
    over_quota_min: Option<usize>,
    p99_against: Option<Against>,
}

/// The p99 of some callers against another trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Against {
    trace: Box<str>,
    callers: Vec<Box<str>>,
    ratio_max: f64,
}

/// A trace that was run.
pub(crate) struct Checked {
    pub(crate) faults: Vec<String>,
    pub(crate) figures: Figures,
}

/// Counts over one run.
pub(crate) struct Figures {
    pub(crate) requests: usize,
    pub(crate) good_percent: f64,
    pub(crate) unknown_percent: f64,
    pub(crate) not_run_percent: f64,
    pub(crate) tries_per_request: f64,
    /// Good answers by caller, in percent.
    pub(crate) good_by_caller: IndexMap<Box<str>, f64>,
    /// Over good answers, by caller.
    pub(crate) p99_ms: IndexMap<Box<str>, f64>,
}

impl Figures {
    pub(crate) fn summary(&self) -> String {
        let worst = self
            .p99_ms
            .iter()
            .map(|(caller, p99)| format!("{caller} {p99:.1}"));
        let worst: Vec<String> = worst.take(4).collect();
        format!(
            "requests {} good {:.2}% unknown {:.2}% not-run {:.2}% tries/request {:.3} p99 ms: {}",
            self.requests,
            self.good_percent,
            self.unknown_percent,
            self.not_run_percent,
            self.tries_per_request,
            worst.join(", ")
        )
    }
}

/// Runs a trace and checks it against the file beside it.
pub(crate) fn check(path: &Path, protections: Protections) -> Result<Checked, TraceError> {
    let trace = Trace::read(path)?;
    let stated = read_stated(&path.with_extension("outcome.json"))?;
    let engine = Engine::run(&trace, Policy::Product, protections);
    let figures = figures(&engine);
    let mut faults = invariants(&engine);
    faults.extend(bounds(&stated, &figures, &engine));
    if let Some(against) = &stated.p99_against {
        let other = path.with_file_name(&*against.trace);
        let other = Engine::run(&Trace::read(&other)?, Policy::Product, protections);
        faults.extend(compare(against, &figures, &self::figures(&other)));
    }
    Ok(Checked { faults, figures })
}

fn read_stated(path: &Path) -> Result<Stated, TraceError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_json::from_str(&text).context(ParseSnafu { path, line: 1usize })
}

/// Counts a run.
pub(crate) fn figures(engine: &Engine) -> Figures {
    let requests = &engine.requests;
    let count = |which: fn(&Request) -> bool| requests.iter().filter(|r| which(r)).count();
    let mut by_caller: IndexMap<Box<str>, Vec<&Request>> = IndexMap::new();
    for request in requests {
        by_caller
            .entry(request.caller.clone())
            .or_default()
            .push(request);
    }
    let tries: u32 = requests.iter().map(|r| r.tries).sum();
    let good = |all: &Vec<&Request>| all.iter().filter(|r| is_good(r)).count();
    Figures {
        requests: requests.len(),
        good_percent: percent(count(is_good), requests.len()),
        unknown_percent: percent(count(is_unknown), requests.len()),
        not_run_percent: percent(count(is_not_run), requests.len()),
        tries_per_request: f64::from(tries) / requests.len().max(1) as f64,
        good_by_caller: by_caller
            .iter()
            .map(|(caller, all)| (caller.clone(), percent(good(all), all.len())))
            .collect(),
        p99_ms: by_caller
            .iter()
            .map(|(caller, all)| (caller.clone(), p99_ms(all)))
            .collect(),
    }
}

fn p99_ms(requests: &[&Request]) -> f64 {
    let good = requests.iter().filter(|r| is_good(r));
    let mut taken: Vec<Duration> = good
        .filter_map(|r| r.end.map(|(at, _)| at - r.arrived))
        .collect();
    taken.sort_unstable();
    let index = taken.len() * 99 / 100;
    taken
        .get(index)
        .map_or(0.0, |taken| taken.as_secs_f64() * 1e3)
}

/// What must hold in every run.
fn invariants(engine: &Engine) -> Vec<String> {
    let mut faults = Vec::new();
    let mut must = |what: &str, broken: fn(&Request) -> bool| {
        let count = engine.requests.iter().filter(|r| broken(r)).count();
        if count > 0 {
            faults.push(format!("{what}: broken by {count} requests"));
        }
    };
    must("every request ends exactly once", |r| r.ends != 1);
    must("not idempotent: at most one run", |r| {
        !r.idempotent && r.runs > 1
    });
    must("not-run did not run", |r| is_not_run(r) && r.runs > 0);
    must("no answer after the deadline", is_late);
    must(
        "a request given up on arrival is answered at once",
        is_held_back,
    );
    if engine.over_cap > 0 {
        faults.push(format!(
            "a target was over its slots {} times",
            engine.over_cap
        ));
    }
    faults
}

fn bounds(stated: &Stated, figures: &Figures, engine: &Engine) -> Vec<String> {
    let mut faults = Vec::new();
    let mut most = |what: &str, found: f64, bound: Option<f64>| {
        if let Some(bound) = bound.filter(|bound| found > *bound) {
            faults.push(format!("{what}: {found:.3}, at most {bound}"));
        }
    };
    most(
        "tries per request",
        figures.tries_per_request,
        stated.tries_per_request_max,
    );
    most(
        "unknown %",
        figures.unknown_percent,
        stated.unknown_percent_max,
    );
    let together = returns_in_one_second(engine);
    most(
        "returns in one second %",
        together,
        stated.returns_in_one_second_percent_max,
    );
    for (caller, bound) in &stated.p99_ms_max {
        let p99 = figures.p99_ms.get(caller).copied().unwrap_or(f64::MAX);
        most(&format!("p99 ms of {caller}"), p99, Some(*bound));
    }
    for (caller, bound) in &stated.good_percent_min {
        let good = figures.good_by_caller.get(caller).copied().unwrap_or(0.0);
        most(
            &format!("not good % of {caller}"),
            100.0 - good,
            Some(100.0 - bound),
        );
    }
    let over_quota = |r: &&Request| reason(r) == Some(RefusalReason::OverQuota);
    let over_quota = engine.requests.iter().filter(over_quota).count();
    if stated
        .over_quota_min
        .is_some_and(|least| over_quota < least)
    {
        faults.push(format!("refused over quota: {over_quota}"));
    }
    faults
}

fn compare(against: &Against, figures: &Figures, other: &Figures) -> Vec<String> {
    let mut faults = Vec::new();
    for caller in &against.callers {
        let p99 = figures.p99_ms.get(caller).copied().unwrap_or(f64::MAX);
        let before = other.p99_ms.get(caller).copied().unwrap_or(0.0);
        if p99 > before * against.ratio_max {
            faults.push(format!("p99 of {caller}: {before:.2} ms to {p99:.2} ms"));
        }
    }
    faults
}

/// Of the refused, the share told to return in the second that most of the
/// refused of one second share.
fn returns_in_one_second(engine: &Engine) -> f64 {
    let mut seconds: IndexMap<(u64, u64), usize> = IndexMap::new();
    let mut refused: IndexMap<u64, usize> = IndexMap::new();
    for request in &engine.requests {
        if let Some((at, FinalOutcome::NotRun { retry_after, .. })) = request.end {
            let back = (at + retry_after).as_secs();
            *seconds.entry((at.as_secs(), back)).or_default() += 1;
            *refused.entry(at.as_secs()).or_default() += 1;
        }
    }
    let shares = seconds.iter().map(|((at, _), count)| (refused[at], *count));
    let shares = shares.filter(|(all, _)| *all >= SPREAD_SAMPLE_MIN);
    shares
        .map(|(all, count)| percent(count, all))
        .fold(0.0, f64::max)
}

fn is_good(request: &Request) -> bool {
    let answered = matches!(request.end, Some((_, FinalOutcome::Answered)));
    answered && request.status < STATUS_FAILED
}

fn is_unknown(request: &Request) -> bool {
    matches!(request.end, Some((_, FinalOutcome::Unknown { .. })))
}

fn is_not_run(request: &Request) -> bool {
    reason(request).is_some()
}

fn is_late(request: &Request) -> bool {
    request
        .end
        .is_some_and(|(at, _)| at > request.deadline + LATE_MAX)
}

/// Quota and a full queue are known on arrival.
fn is_held_back(request: &Request) -> bool {
    let known = [RefusalReason::OverQuota, RefusalReason::QueueFull];
    let early = reason(request).is_some_and(|reason| known.contains(&reason));
    early && request.end.is_some_and(|(at, _)| at != request.arrived)
}

fn reason(request: &Request) -> Option<RefusalReason> {
    match request.end {
        Some((_, FinalOutcome::NotRun { reason, .. })) => Some(reason),
        _ => None,
    }
}

fn percent(part: usize, whole: usize) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}
