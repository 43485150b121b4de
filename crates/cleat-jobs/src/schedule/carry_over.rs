//! Statistics that outlive their owner: durations and recent arrivals are
//! committed to the replicated state, and a new owner starts from them.
//!
//! Without them, a new owner takes each estimate as the duration, and needs the
//! whole window of the forecast until it knows the demand. If the old owner died
//! during a demand peak, machines that the peak needs would be moved away, or
//! would not be moved to it.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::durations::DurationModel;
use super::forecast::{ARRIVAL_WINDOW, Arrivals, JobUsage};
use super::timing::QueueStats;
use super::worker::millis;
use super::{Decision, Scheduler};
use crate::TaskId;
use crate::state::{ControlState, LearnedQueue, LearnedStats};

/// The resolution of committed arrival times: the shortest segment in which the
/// forecast detects a rise.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of intervals in the window of the forecast.
const MAX_INTERVALS: usize = 120;
/// The maximum number of arrivals of a queue in one interval, 2,000 a second. A
/// fleet of 1,100 workers completes fewer than that in all queues.
const MAX_ARRIVALS_PER_INTERVAL: u8 = 100;
/// The maximum size of the statistics of all queues. With five members and a
/// commit every 2 s, each link carries 8 KB a second at most, a thirtieth of
/// its 2 Mbit/s.
const MAX_BYTES: usize = 16 * 1_024;
/// The size that is reserved for the fields beside the queues: three numbers of
/// 64 bits, one of 32 bits and a length, each with a variable length encoding.
const HEADER_BYTES: usize = 45;
/// By how much the clocks of two control instances may differ. If the statistics
/// seem to be from further in the future, the time of day has jumped.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(500);
/// The maximum usage of one job that is plausible, in thousandths of a core times
/// milliseconds (about 10,000 cores for a day) and in MB times milliseconds.
const MAX_PLAUSIBLE_USAGE: f64 = 1e15;
/// The maximum duration of a job that is plausible: a month.
const MAX_PLAUSIBLE_JOB_MS: f64 = 30.0 * 24.0 * 3_600.0 * 1_000.0;
/// The change of a queue's mean usage from which it is committed again, relative
/// to the committed mean.
const NOTABLE_USAGE_CHANGE: f64 = 0.1;

/// Why statistics of an earlier owner are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LearnedFault {
    /// They can't be decoded.
    Unreadable,
    /// They are from the future, so the time of day has jumped. The arrivals
    /// are dropped, not the durations.
    TimeOfDay,
    /// The regression of the durations has values that are not plausible.
    Durations,
    /// The mean usage is not plausible.
    Usage,
    /// There are more intervals, or more arrivals in one, than an owner commits.
    Arrivals,
}

/// What this owner has committed, and what it restored.
#[derive(Debug)]
pub(super) struct CarryOver {
    /// When statistics were last proposed.
    proposed_at: Duration,
    /// The log position of the latest job that this owner or the restored
    /// statistics count.
    covered_index: u64,
    /// Whether durations of an earlier owner were restored.
    pub(super) restored: bool,
    /// From when on arrivals are known for the whole window of the forecast.
    pub(super) history_complete_at: Duration,
}

impl CarryOver {
    pub(super) fn new(now: Duration) -> CarryOver {
        CarryOver {
            proposed_at: now,
            covered_index: 0,
            restored: false,
            history_complete_at: now + ARRIVAL_WINDOW,
        }
    }

    /// Records that the job accepted at this log position is counted.
    pub(super) fn record_job(&mut self, accepted_index: u64) {
        self.covered_index = self.covered_index.max(accepted_index);
    }
}

/// The recent arrivals of one queue.
#[derive(Clone, Debug, Default)]
pub(super) struct ArrivalTimes {
    /// Arrivals that were observed by this owner or restored from an earlier one.
    known: VecDeque<Duration>,
    /// The log position of the latest job that restored arrivals count; 0 if
    /// none were restored.
    pub(super) restored_index: u64,
    /// Arrivals that are assumed for the time between the commit of the restored
    /// statistics and the takeover, in ascending order. Each is replaced once a
    /// job is known that arrived in that time.
    assumed: VecDeque<Duration>,
    /// The usage of each assumed job.
    assumed_usage: JobUsage,
    /// The time of the commit of the restored statistics.
    assumed_from: Duration,
    /// The time of the takeover.
    assumed_until: Duration,
}

impl ArrivalTimes {
    /// Records an arrival. Returns the assumed arrival that it replaces, if any.
    pub(super) fn record(&mut self, at: Duration) -> Option<(Duration, JobUsage)> {
        let is_old = |known: &mut Duration| *known + ARRIVAL_WINDOW < at;
        while self.known.pop_front_if(is_old).is_some() {}
        self.known.push_back(at);
        if at < self.assumed_from || at >= self.assumed_until {
            return None;
        }
        let distance = |(_, assumed): &(usize, &Duration)| assumed.abs_diff(at);
        let (nearest, _) = self.assumed.iter().enumerate().min_by_key(distance)?;
        let replaced = self.assumed.remove(nearest)?;
        Some((replaced, self.assumed_usage))
    }

    /// The number of arrivals in each interval before `now`, latest first.
    fn counts(&self, now: Duration) -> Vec<u8> {
        let mut counts = vec![0; MAX_INTERVALS];
        for at in self.known.iter().chain(&self.assumed) {
            let age = now.saturating_sub(*at).as_millis() / ARRIVAL_INTERVAL.as_millis();
            let count = usize::try_from(age).ok().and_then(|at| counts.get_mut(at));
            if let Some(count) = count {
                *count = MAX_ARRIVALS_PER_INTERVAL.min(*count + 1);
            }
        }
        let used = counts.iter().rposition(|count| *count > 0);
        counts.truncate(used.map_or(0, |last| last + 1));
        counts
    }

    /// The arrivals that were counted before `written_at`. Those of an interval
    /// are spread evenly over it.
    fn from_counts(counts: &[u8], written_at: Duration) -> ArrivalTimes {
        let mut times = ArrivalTimes::default();
        let intervals = (1..=u32::MAX).map(|number| ARRIVAL_INTERVAL * number);
        let ends: Vec<(Duration, u8)> = intervals.zip(counts.iter().copied()).collect();
        for (end, count) in ends.into_iter().rev() {
            for number in 0..count {
                let part = (f64::from(number) + 0.5) / f64::from(count);
                let age = end.saturating_sub(ARRIVAL_INTERVAL.mul_f64(part));
                // An arrival from before the clock's origin can't be represented.
                times.known.extend(written_at.checked_sub(age));
            }
        }
        times
    }

    /// Assumes that jobs kept arriving at the current rate from `from` to
    /// `until`. Jobs of that time are not all known: some ended before the
    /// takeover, and others wait at gateways for a leader. Without the
    /// assumption, a gap of half a second appears as the end of a peak.
    fn assume_rate(&mut self, usage: JobUsage, from: Duration, until: Duration) {
        let mut arrivals = Arrivals::default();
        for at in &self.known {
            arrivals.record(*at, usage);
        }
        let rate = arrivals.rate(from);
        (self.assumed_from, self.assumed_until) = (from, until);
        self.assumed_usage = usage;
        if rate > 0.0 {
            let times = (0..).map(|number| (f64::from(number) + 0.5) / rate);
            let times = times.map(|offset| from + Duration::from_secs_f64(offset));
            self.assumed.extend(times.take_while(|at| *at < until));
        }
    }
}

impl Scheduler {
    /// Whether this owner has started the task.
    pub(super) fn has_started_task(&self, task: TaskId) -> bool {
        let starts = self.start_counts.get(&task.job());
        starts.is_some_and(|starts| starts.contains_key(&task))
    }

    /// Proposes what this owner has learned, if it is enabled, due and differs
    /// notably from what was committed.
    pub(super) fn propose_learned(&mut self, state: &ControlState) {
        let interval = self.cfg.features.carry_over_interval;
        let due = self.now >= self.carry_over.proposed_at + interval;
        if interval.is_zero() || !due || self.wall_ms == 0 {
            return;
        }
        let learned = self.learned();
        let none = LearnedStats::default();
        let committed = state.learned.as_deref().unwrap_or(&none);
        if self.differs_notably(&learned, committed) {
            self.carry_over.proposed_at = self.now;
            self.propose(crate::Command::Learned(Box::new(learned)));
        }
    }

    /// What this owner has learned. If it is too large, the queues with the
    /// fewest arrivals are left out, since they affect the fewest decisions.
    fn learned(&self) -> LearnedStats {
        let mut queues: Vec<LearnedQueue> = self
            .workload
            .queues
            .iter()
            .map(|(name, stats)| {
                let times = self.workload.arrival_times.get(name);
                stats.learned(name, times.map(|times| times.counts(self.now)))
            })
            .collect();
        let count = |queue: &LearnedQueue| queue.arrivals.iter().map(|n| u32::from(*n)).sum();
        queues.sort_by_key(|queue| {
            let arrivals: u32 = count(queue);
            std::cmp::Reverse((arrivals, queue.durations.tasks))
        });
        let mut bytes = HEADER_BYTES;
        let mut complete = true;
        queues.retain(|queue| {
            let size = encoded_len(queue);
            let fits = bytes + size <= MAX_BYTES;
            bytes += if fits { size } else { 0 };
            complete &= fits || queue.arrivals.is_empty();
            fits
        });
        let unknown = self.carry_over.history_complete_at.saturating_sub(self.now);
        let observed = ARRIVAL_WINDOW.saturating_sub(unknown);
        let observed = if complete { observed } else { Duration::ZERO };
        LearnedStats {
            token: self.owner.token,
            written_ms: self.wall_ms,
            covered_index: self.carry_over.covered_index,
            observed_ms: u32::try_from(observed.as_millis()).unwrap_or(u32::MAX),
            queues,
        }
    }

    /// Whether a successor would decide differently with these statistics instead of the
    /// committed ones.
    fn differs_notably(&self, learned: &LearnedStats, committed: &LearnedStats) -> bool {
        let has_arrivals = |queue: &LearnedQueue| !queue.arrivals.is_empty();
        // Arrivals age, so they are out of date in any case.
        if learned.queues.iter().any(has_arrivals) || committed.queues.iter().any(has_arrivals) {
            return true;
        }
        learned.queues.iter().any(|queue| {
            let known = committed
                .queues
                .iter()
                .find(|known| known.name == queue.name);
            let stats = self.workload.queues.get(&queue.name);
            let Some((known, stats)) = known.zip(stats) else {
                return true;
            };
            stats.durations.differs_notably(&known.durations)
                || usage_differs_notably(&queue.usage, &known.usage)
        })
    }

    /// Logs the commit of statistics that this owner proposed.
    pub(super) fn log_learned_committed(&mut self, learned: &LearnedStats) {
        if learned.token == self.owner.token {
            self.log(Decision::LearnedCommitted {
                queues: learned.queues.len(),
                bytes: encoded_len(learned),
            });
        }
    }

    /// Starts with what an earlier owner committed, if that is enabled.
    pub(super) fn restore_learned(&mut self, state: &ControlState) {
        let enabled = !self.cfg.features.carry_over_interval.is_zero();
        let Some(learned) = state.learned.as_deref().filter(|_| enabled) else {
            return;
        };
        if learned.token == 0 {
            return self.reject_learned(None, LearnedFault::Unreadable);
        }
        let age = self.age_of(learned);
        let written_at = age.and_then(|age| self.now.checked_sub(age));
        let (mut queues, mut arrivals, mut assumed) = (0, 0, 0);
        let mut complete = true;
        for queue in &learned.queues {
            // A queue may have been removed since, or have another pool.
            let catalogue = state.catalogue.as_deref();
            let known = catalogue.and_then(|all| all.queues.iter().find(|q| q.name == queue.name));
            let Some(pool) = known.map(|known| known.pool.clone()) else {
                continue;
            };
            let stats = match QueueStats::from_learned(queue) {
                Ok(stats) => stats,
                Err(fault) => {
                    self.reject_learned(Some(queue.name.clone()), fault);
                    complete = false;
                    continue;
                }
            };
            self.workload.queues.insert(queue.name.clone(), stats);
            queues += 1;
            if let Some(written_at) = written_at {
                let mut times = ArrivalTimes::from_counts(&queue.arrivals, written_at);
                times.restored_index = learned.covered_index;
                times.assume_rate(stats.usage, written_at, self.now);
                arrivals += times.known.len();
                assumed += times.assumed.len();
                self.restore_arrivals(queue.name.clone(), pool, times, stats.usage);
            }
        }
        self.carry_over.restored = queues > 0;
        if let Some(age) = age.filter(|_| written_at.is_some() && complete) {
            let observed = Duration::from_millis(learned.observed_ms.into()) + age;
            self.carry_over.history_complete_at =
                self.now + ARRIVAL_WINDOW.saturating_sub(observed);
        }
        self.log(Decision::LearnedRestored {
            queues,
            arrivals,
            assumed,
            age_ms: age.map(millis),
        });
    }

    /// Records the arrivals of a queue whose jobs have this usage, for the queue and its
    /// pool.
    fn restore_arrivals(
        &mut self,
        queue: Box<str>,
        pool: Box<str>,
        times: ArrivalTimes,
        usage: JobUsage,
    ) {
        let workload = &mut self.workload;
        let of_pool = workload.arrivals.entry(pool.clone()).or_default();
        // Shares are not carried over, so all count as within them.
        let within = workload.arrivals_within_shares.entry(pool).or_default();
        for at in times.known.iter().chain(&times.assumed) {
            of_pool.record(*at, usage);
            within.record(*at, usage);
        }
        workload.arrival_times.insert(queue, times);
    }

    /// How long ago the statistics were written; `None` if that is longer than
    /// arrivals count, or the time of day has jumped.
    fn age_of(&mut self, learned: &LearnedStats) -> Option<Duration> {
        let ahead = Duration::from_millis(learned.written_ms.saturating_sub(self.wall_ms));
        if self.wall_ms == 0 || ahead > MAX_CLOCK_DIFFERENCE {
            self.reject_learned(None, LearnedFault::TimeOfDay);
            return None;
        }
        let age = Duration::from_millis(self.wall_ms.saturating_sub(learned.written_ms));
        Some(age).filter(|age| *age < ARRIVAL_WINDOW)
    }

    fn reject_learned(&mut self, queue: Option<Box<str>>, fault: LearnedFault) {
        self.log(Decision::LearnedRejected { queue, fault });
    }
}

impl QueueStats {
    /// The statistics as they are committed for the next owner.
    #[allow(clippy::cast_possible_truncation)]
    fn learned(&self, name: &str, arrivals: Option<Vec<u8>>) -> LearnedQueue {
        let usage = &self.usage;
        LearnedQueue {
            name: name.into(),
            durations: self.durations.learned(),
            jobs: self.jobs,
            usage: [usage.cpu_milli_ms, usage.memory_mb_ms, usage.duration_ms].map(|x| x as f32),
            arrivals: arrivals.unwrap_or_default(),
        }
    }

    /// The statistics of an earlier owner, unless they are invalid.
    fn from_learned(learned: &LearnedQueue) -> Result<QueueStats, LearnedFault> {
        let durations =
            DurationModel::from_learned(&learned.durations).ok_or(LearnedFault::Durations)?;
        let [cpu_milli_ms, memory_mb_ms, duration_ms] = learned.usage.map(f64::from);
        // NaN is in no range.
        let plausible = (0.0..=MAX_PLAUSIBLE_USAGE).contains(&cpu_milli_ms)
            && (0.0..=MAX_PLAUSIBLE_USAGE).contains(&memory_mb_ms)
            && (0.0..=MAX_PLAUSIBLE_JOB_MS).contains(&duration_ms);
        if !plausible {
            return Err(LearnedFault::Usage);
        }
        let counts = &learned.arrivals;
        let few = |count: &u8| *count <= MAX_ARRIVALS_PER_INTERVAL;
        if counts.len() > MAX_INTERVALS || !counts.iter().all(few) {
            return Err(LearnedFault::Arrivals);
        }
        Ok(QueueStats {
            durations,
            usage: JobUsage {
                cpu_milli_ms,
                memory_mb_ms,
                duration_ms,
            },
            jobs: learned.jobs,
        })
    }
}

/// Whether any of the values changed by more than [`NOTABLE_USAGE_CHANGE`].
fn usage_differs_notably(usage: &[f32; 3], committed: &[f32; 3]) -> bool {
    let mut pairs = usage.iter().zip(committed);
    pairs.any(|(now, known)| {
        let (now, known) = (f64::from(*now), f64::from(*known));
        (now - known).abs() > NOTABLE_USAGE_CHANGE * known.abs()
    })
}

fn encoded_len(value: &impl Serialize) -> usize {
    // Can't fail: the value is plain data, and the vector grows as needed.
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len())
}
