//! The results of a run, and their comparison with the expected outcome.

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

/// The tolerance for answers after the deadline.
const LATE_MAX: Duration = Duration::from_millis(1);
/// With fewer refusals than this, their spread over time is not checked.
const SPREAD_SAMPLE_MIN: usize = 50;
/// The lowest status that does not count as a successful response.
const STATUS_FAILED: u16 = 500;

/// The expected outcome of a trace. The invariants are checked for every trace.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ExpectedOutcome {
    tries_per_request_max: Option<f64>,
    /// The percentage of requests with a successful response, by caller.
    good_percent_min: IndexMap<Box<str>, f64>,
    p99_ms_max: IndexMap<Box<str>, f64>,
    unknown_percent_max: Option<f64>,
    /// The percentage of refusals of one second with a retry-after time in the same
    /// second.
    returns_in_one_second_percent_max: Option<f64>,
    /// The minimum number of requests refused because of a quota.
    over_quota_min: Option<usize>,
    p99_against: Option<Baseline>,
}

/// A comparison of the p99 latency of some callers with another trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Baseline {
    trace: Box<str>,
    callers: Vec<Box<str>>,
    ratio_max: f64,
}

/// The result of running a trace.
pub(crate) struct Checked {
    /// The failed checks.
    pub(crate) failures: Vec<String>,
    pub(crate) statistics: Statistics,
}

/// Statistics of one run.
pub(crate) struct Statistics {
    pub(crate) requests: usize,
    pub(crate) good_percent: f64,
    pub(crate) unknown_percent: f64,
    pub(crate) not_run_percent: f64,
    pub(crate) tries_per_request: f64,
    /// The percentage of requests with a successful response, by caller.
    pub(crate) good_by_caller: IndexMap<Box<str>, f64>,
    /// The 99th percentile of the latency of successful responses, by caller.
    pub(crate) p99_ms: IndexMap<Box<str>, f64>,
}

impl Statistics {
    pub(crate) fn summary(&self) -> String {
        let p99s = self
            .p99_ms
            .iter()
            .map(|(caller, p99)| format!("{caller} {p99:.1}"));
        let p99s: Vec<String> = p99s.take(4).collect();
        format!(
            "requests {} good {:.2}% unknown {:.2}% not-run {:.2}% tries/request {:.3} p99 ms: {}",
            self.requests,
            self.good_percent,
            self.unknown_percent,
            self.not_run_percent,
            self.tries_per_request,
            p99s.join(", ")
        )
    }
}

/// Runs a trace and checks it against the outcome file next to it.
pub(crate) fn check(path: &Path, protections: Protections) -> Result<Checked, TraceError> {
    let trace = Trace::read(path)?;
    let expected = read_expected_outcome(&path.with_extension("outcome.json"))?;
    let engine = Engine::run(&trace, Policy::Product, protections);
    let statistics = statistics(&engine);
    let mut failures = invariants(&engine);
    failures.extend(bounds(&expected, &statistics, &engine));
    if let Some(baseline) = &expected.p99_against {
        let other = path.with_file_name(&*baseline.trace);
        let other = Engine::run(&Trace::read(&other)?, Policy::Product, protections);
        failures.extend(compare(baseline, &statistics, &self::statistics(&other)));
    }
    Ok(Checked {
        failures,
        statistics,
    })
}

fn read_expected_outcome(path: &Path) -> Result<ExpectedOutcome, TraceError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_json::from_str(&text).context(ParseSnafu { path, line: 1usize })
}

/// Computes the statistics of a run.
pub(crate) fn statistics(engine: &Engine) -> Statistics {
    let requests = &engine.requests;
    let count = |which: fn(&Request) -> bool| requests.iter().filter(|r| which(r)).count();
    let mut by_caller: IndexMap<Box<str>, Vec<&Request>> = IndexMap::new();
    for request in requests {
        by_caller
            .entry(request.caller.clone())
            .or_default()
            .push(request);
    }
    let attempts: u32 = requests.iter().map(|r| r.attempts).sum();
    let good = |all: &Vec<&Request>| all.iter().filter(|r| is_good(r)).count();
    Statistics {
        requests: requests.len(),
        good_percent: percent(count(is_good), requests.len()),
        unknown_percent: percent(count(is_unknown), requests.len()),
        not_run_percent: percent(count(is_not_run), requests.len()),
        tries_per_request: f64::from(attempts) / requests.len().max(1) as f64,
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
    let mut latencies: Vec<Duration> = good
        .filter_map(|r| r.end.map(|(at, _)| at - r.arrived))
        .collect();
    latencies.sort_unstable();
    let index = latencies.len() * 99 / 100;
    latencies
        .get(index)
        .map_or(0.0, |latency| latency.as_secs_f64() * 1e3)
}

/// Checks the invariants, which hold in every run.
fn invariants(engine: &Engine) -> Vec<String> {
    let mut failures = Vec::new();
    let mut check_none = |what: &str, violates: fn(&Request) -> bool| {
        let count = engine.requests.iter().filter(|r| violates(r)).count();
        if count > 0 {
            failures.push(format!("{what}: violated by {count} requests"));
        }
    };
    check_none("every request ends exactly once", |r| r.ends != 1);
    check_none("not idempotent: at most one run", |r| {
        !r.idempotent && r.runs > 1
    });
    check_none("not-run did not run", |r| is_not_run(r) && r.runs > 0);
    check_none("no answer after the deadline", is_late);
    check_none(
        "a request refused on arrival is answered at once",
        is_answered_late,
    );
    if engine.over_cap > 0 {
        failures.push(format!(
            "a target was over its slots {} times",
            engine.over_cap
        ));
    }
    failures
}

fn bounds(expected: &ExpectedOutcome, statistics: &Statistics, engine: &Engine) -> Vec<String> {
    let mut failures = Vec::new();
    let mut check_max = |what: &str, found: f64, max: Option<f64>| {
        if let Some(max) = max.filter(|max| found > *max) {
            failures.push(format!("{what}: {found:.3}, maximum {max}"));
        }
    };
    check_max(
        "tries per request",
        statistics.tries_per_request,
        expected.tries_per_request_max,
    );
    check_max(
        "unknown %",
        statistics.unknown_percent,
        expected.unknown_percent_max,
    );
    let returns = returns_in_one_second(engine);
    check_max(
        "returns in one second %",
        returns,
        expected.returns_in_one_second_percent_max,
    );
    for (caller, bound) in &expected.p99_ms_max {
        let p99 = statistics.p99_ms.get(caller).copied().unwrap_or(f64::MAX);
        check_max(&format!("p99 ms of {caller}"), p99, Some(*bound));
    }
    for (caller, bound) in &expected.good_percent_min {
        let good = statistics
            .good_by_caller
            .get(caller)
            .copied()
            .unwrap_or(0.0);
        check_max(
            &format!("not good % of {caller}"),
            100.0 - good,
            Some(100.0 - bound),
        );
    }
    let over_quota = |r: &&Request| reason(r) == Some(RefusalReason::OverQuota);
    let over_quota = engine.requests.iter().filter(over_quota).count();
    if expected.over_quota_min.is_some_and(|min| over_quota < min) {
        failures.push(format!("refused over quota: {over_quota}"));
    }
    failures
}

fn compare(baseline: &Baseline, statistics: &Statistics, other: &Statistics) -> Vec<String> {
    let mut failures = Vec::new();
    for caller in &baseline.callers {
        let p99 = statistics.p99_ms.get(caller).copied().unwrap_or(f64::MAX);
        let before = other.p99_ms.get(caller).copied().unwrap_or(0.0);
        if p99 > before * baseline.ratio_max {
            failures.push(format!("p99 of {caller}: {before:.2} ms to {p99:.2} ms"));
        }
    }
    failures
}

/// The highest percentage, over all seconds with enough refusals, of the requests
/// refused in that second whose retry-after times fall into one same second.
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

/// Whether a refusal for a reason known on arrival (a quota or a full queue) came
/// later than the arrival.
fn is_answered_late(request: &Request) -> bool {
    let known = [RefusalReason::OverQuota, RefusalReason::QueueFull];
    let known_on_arrival = reason(request).is_some_and(|reason| known.contains(&reason));
    known_on_arrival && request.end.is_some_and(|(at, _)| at != request.arrived)
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
