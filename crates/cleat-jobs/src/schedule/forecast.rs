//! Forecasts the resources that a pool's tasks will use if jobs keep arriving
//! at the current rate.
//!
//! Some queues are almost idle most of the time, with demand peaks of some
//! seconds at twenty times that load. Moving a machine to the pool takes 1.5 s,
//! and it incurs costs for as long as it stays there, so both the start and the
//! end of such a peak have to be detected quickly. The forecast is based on the
//! number of jobs rather than on their size: in a queue whose jobs differ by a
//! factor of ten, three jobs in half a second may look like five times their
//! actual load. Each job counts as an average job of its queue.
//!
//! The current rate is found by change-point detection: the recent arrivals are
//! split wherever the rate after the split differs from the rate before by more
//! than chance explains. The forecast assumes that the rate after the last
//! split continues.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Size;

/// How far back arrivals are counted. With this window, the measured rate of a
/// queue with a constant 20 jobs a second varies by about a tenth at random.
pub(crate) const ARRIVAL_WINDOW: Duration = Duration::from_millis(6_000);
/// The minimum duration of a segment that counts as a fall, or as a rise if it
/// has fewer than [`MANY_JOBS`] jobs. Jobs arrive in bursts, since callers
/// retry and gateways send the requests that they had queued. [`MANY_JOBS`]
/// jobs are more than such a burst, so [`MIN_SEGMENT_MANY_JOBS`] is long enough
/// for a rise with that many.
const MIN_SEGMENT: Duration = Duration::from_millis(150);
/// The number of jobs from which a rise may be as short as
/// [`MIN_SEGMENT_MANY_JOBS`].
const MANY_JOBS: usize = 10;
/// The minimum duration of a rise with at least [`MANY_JOBS`] jobs.
const MIN_SEGMENT_MANY_JOBS: Duration = Duration::from_millis(50);
/// The minimum number of jobs in a segment that counts as a rise, however close
/// together they arrived.
const MIN_RISE_JOBS: usize = 3;
/// By how many standard deviations the jobs of a segment have to exceed the
/// expected number to count as a rise. Many splits are tried each time, so a
/// limit of three would detect a rise by chance every few seconds, and machines
/// would be moved to the pool for it.
const RISE_DEVIATIONS: f64 = 3.5;
/// By how many standard deviations the jobs of a segment have to fall below the
/// expected number to count as a fall. A fall that is detected by mistake costs
/// less: machines with tasks stay in the pool, and idle ones stay there for
/// some time before they are moved.
const FALL_DEVIATIONS: f64 = 2.7;
/// How long it takes until a machine that is ordered now can run tasks: the
/// platform takes 1.5 s to move it, and its worker has to start.
pub(crate) const LEAD_TIME: Duration = Duration::from_millis(2_000);

/// The resources that a job uses over its whole duration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobUsage {
    /// Processor time, in thousandths of a core times milliseconds.
    pub cpu_milli_ms: f64,
    /// Memory, in MB times milliseconds.
    pub memory_mb_ms: f64,
    /// The duration of the job, in milliseconds; 0 while unknown.
    pub duration_ms: f64,
}

/// The recent job arrivals of one pool.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// In ascending order of arrival.
    recent: VecDeque<(Duration, JobUsage)>,
}

/// The arrivals in the period of length `span` that ends now.
#[derive(Clone, Copy, Debug)]
struct Segment {
    jobs: usize,
    span: Duration,
}

impl Arrivals {
    /// Records a job that arrived at `at` and is expected to use `usage`.
    pub fn record(&mut self, at: Duration, usage: JobUsage) {
        // Events may be delayed, so jobs can be recorded out of order.
        let later = self.recent.iter().rev().take_while(|known| known.0 > at);
        let position = self.recent.len() - later.count();
        self.recent.insert(position, (at, usage));
    }

    /// Removes one job that was recorded with these values.
    pub(super) fn remove(&mut self, at: Duration, usage: JobUsage) {
        if let Some(position) = self.recent.iter().position(|known| *known == (at, usage)) {
            self.recent.remove(position);
        }
    }

    /// The current number of arriving jobs per second.
    pub(super) fn rate(&mut self, now: Duration) -> f64 {
        self.remove_expired(now);
        let segment = self.latest_segment(now);
        #[allow(clippy::cast_precision_loss)]
        let jobs = segment.jobs as f64;
        jobs / segment.span.as_secs_f64()
    }

    /// The resources that the pool's tasks will use at the time when a machine
    /// ordered now arrives, if jobs keep arriving at the current rate.
    pub fn forecast(&mut self, now: Duration) -> Size {
        self.remove_expired(now);
        let segment = self.latest_segment(now);
        let segment_ms = millis(segment.span);
        let lead_ms = millis(LEAD_TIME);
        let (mut cpu, mut memory) = (0.0, 0.0);
        let mut add = |usage: &JobUsage, share: f64| {
            cpu += share * usage.cpu_milli_ms;
            memory += share * usage.memory_mb_ms;
        };
        for (_, usage) in self.recent.iter().rev().take(segment.jobs) {
            // A job that arrives during the lead time still runs at the end of
            // that time if it arrives less than its duration before the end.
            let share = (lead_ms / usage.duration_ms).min(1.0);
            add(usage, share / segment_ms);
        }
        for (at, usage) in &self.recent {
            let age_ms = millis(now.saturating_sub(*at));
            if age_ms + lead_ms < usage.duration_ms {
                add(usage, 1.0 / usage.duration_ms);
            }
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = |mean: f64| mean as u64;
        Size {
            cpu_milli: whole(cpu),
            memory_mb: whole(memory),
            gpu: 0,
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        while self
            .recent
            .pop_front_if(|(at, _)| *at + ARRIVAL_WINDOW < now)
            .is_some()
        {}
    }

    /// The segment since the last change of the rate that chance does not
    /// explain.
    fn latest_segment(&self, now: Duration) -> Segment {
        let mut segment = Segment {
            jobs: self.recent.len(),
            span: ARRIVAL_WINDOW,
        };
        while let Some(later) = self.split(segment, now) {
            segment = later;
        }
        segment
    }

    /// The later segment of the most significant split of `whole`, if any is
    /// significant.
    fn split(&self, whole: Segment, now: Duration) -> Option<Segment> {
        let mut max_significance = 1.0;
        let mut best = None;
        for (after, (at, _)) in self.recent.iter().rev().take(whole.jobs).enumerate() {
            let age = now.saturating_sub(*at);
            // A rise begins with this job, a fall after it.
            let rise = Segment {
                jobs: after + 1,
                span: age.max(min_segment(after + 1)),
            };
            let fall = Segment {
                jobs: after,
                span: age,
            };
            let significances = [
                (rise, rise.rise_significance(whole)),
                (fall, fall.fall_significance(whole)),
            ];
            for (segment, significance) in significances {
                if segment.span < whole.span && significance > max_significance {
                    max_significance = significance;
                    best = Some(segment);
                }
            }
        }
        best
    }
}

/// The shortest segment that may contain this many jobs.
fn min_segment(jobs: usize) -> Duration {
    if jobs < MANY_JOBS {
        MIN_SEGMENT
    } else {
        MIN_SEGMENT_MANY_JOBS
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

impl Segment {
    /// The significance of a rise: the deviation from the expected number of
    /// jobs, relative to [`RISE_DEVIATIONS`].
    fn rise_significance(self, whole: Segment) -> f64 {
        if self.jobs < MIN_RISE_JOBS {
            return 0.0;
        }
        self.deviations(whole) / RISE_DEVIATIONS
    }

    /// The significance of a fall: the deviation below the expected number of
    /// jobs, relative to [`FALL_DEVIATIONS`].
    fn fall_significance(self, whole: Segment) -> f64 {
        if self.span < MIN_SEGMENT {
            return 0.0;
        }
        -self.deviations(whole) / FALL_DEVIATIONS
    }

    /// By how many standard deviations the segment's jobs exceed the number
    /// that the rate of `whole` predicts.
    fn deviations(self, whole: Segment) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let (jobs, all) = (self.jobs as f64, whole.jobs as f64);
        let expected = all * self.span.as_secs_f64() / whole.span.as_secs_f64();
        (jobs - expected) / expected.max(f64::MIN_POSITIVE).sqrt()
    }
}
