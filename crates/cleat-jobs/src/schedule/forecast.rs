//! How much work a pool's jobs will bring if they go on coming as they do now.
//!
//! The load that this answers: queues that ask for little most of the time and
//! for twenty times as much for some seconds, in turn. A machine takes 1.5 s to
//! come and costs while it stays, so both ends of such a turn have to be seen
//! at once. The forecast counts jobs rather than their work: of a queue whose
//! jobs differ by a factor of ten, three in half a second may look like five
//! times what they are. Each counts as much as a mean job of its queue.
//!
//! The jobs of the last seconds are split wherever they came so much more or
//! less often after the split than in all that chance does not explain it; the
//! latest part is what goes on.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Size;

/// How far back jobs are looked at. With nothing changed, chance then makes a
/// tenth of the rate of a queue with 20 jobs a second.
pub(crate) const MEMORY: Duration = Duration::from_millis(6_000);
/// The shortest part that jobs are split into: they come in bunches, as callers
/// try again and gateways send what they held. Where this many came at once it
/// is no bunch, and a shorter time tells enough.
const SHORTEST: Duration = Duration::from_millis(150);
const MANY_JOBS: usize = 10;
const SHORTEST_OF_MANY: Duration = Duration::from_millis(50);
/// Fewer jobs than this don't tell a rise, however soon they followed.
const RISE_JOBS: usize = 3;
/// By how many standard deviations the jobs of a part have to exceed what the
/// whole lets expect. Many splits are tried each time, so three would find a
/// rise by chance every few seconds, and machines would come for it.
const RISE_DEVIATIONS: f64 = 3.5;
/// The same for less than expected. A fall by mistake costs less: machines at
/// work stay, and idle ones wait before they go.
const FALL_DEVIATIONS: f64 = 2.7;
/// How far ahead a machine that is called for now is there: the platform takes 1.5 s to
/// move one, and its worker has to start.
const AHEAD: Duration = Duration::from_millis(2_000);

/// What a job takes up over its life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobUsage {
    /// Thousandths of a core, times milliseconds.
    pub cpu_milli_ms: f64,
    /// MB, times milliseconds.
    pub memory_mb_ms: f64,
    /// How long it takes, in milliseconds; 0 while that is not known.
    pub duration_ms: f64,
}

/// The jobs that came lately for one pool.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// By rising time.
    recent: VecDeque<(Duration, JobUsage)>,
}

/// A part of the arrivals that ends now.
#[derive(Clone, Copy, Debug)]
struct Part {
    jobs: usize,
    span: Duration,
}

impl Arrivals {
    /// Notes a job that came at `at` and is expected to bring `work`.
    pub fn record(&mut self, at: Duration, work: JobUsage) {
        // Some were held up on their way and come after later ones.
        let later = self.recent.iter().rev().take_while(|known| known.0 > at);
        let place = self.recent.len() - later.count();
        self.recent.insert(place, (at, work));
    }

    /// What the pool's tasks will take up by the time a machine comes, if jobs go on
    /// coming as they do now.
    pub fn forecast(&mut self, now: Duration) -> Size {
        self.forget(now);
        let part = self.latest_part(now);
        let segment_ms = millis(part.span);
        let ahead_ms = millis(AHEAD);
        let (mut cpu, mut memory) = (0.0, 0.0);
        let mut add = |work: &JobUsage, share: f64| {
            cpu += share * work.cpu_milli_ms;
            memory += share * work.memory_mb_ms;
        };
        for (_, work) in self.recent.iter().rev().take(part.jobs) {
            // Of what comes until then, as much runs then as takes longer than that.
            let share = (ahead_ms / work.duration_ms).min(1.0);
            add(work, share / segment_ms);
        }
        for (at, work) in &self.recent {
            let age_ms = millis(now.saturating_sub(*at));
            if age_ms + ahead_ms < work.duration_ms {
                add(work, 1.0 / work.duration_ms);
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

    fn forget(&mut self, now: Duration) {
        while self
            .recent
            .pop_front_if(|(at, _)| *at + MEMORY < now)
            .is_some()
        {}
    }

    /// The part since the last change that chance does not explain.
    fn latest_part(&self, now: Duration) -> Part {
        let mut part = Part {
            jobs: self.recent.len(),
            span: MEMORY,
        };
        while let Some(later) = self.split(part, now) {
            part = later;
        }
        part
    }

    /// The later part of a split, where the two differ most.
    fn split(&self, whole: Part, now: Duration) -> Option<Part> {
        let mut most = 1.0;
        let mut found = None;
        for (after, (at, _)) in self.recent.iter().rev().take(whole.jobs).enumerate() {
            let since = now.saturating_sub(*at);
            // A rise begins with this job, a fall after it.
            let rise = Part {
                jobs: after + 1,
                span: since.max(shortest(after + 1)),
            };
            let fall = Part {
                jobs: after,
                span: since,
            };
            let significances = [(rise, rise.rise(whole)), (fall, fall.fall(whole))];
            for (part, significance) in significances {
                if part.span < whole.span && significance > most {
                    most = significance;
                    found = Some(part);
                }
            }
        }
        found
    }
}

/// The least time in which so many jobs count as a part of their own.
fn shortest(jobs: usize) -> Duration {
    if jobs < MANY_JOBS {
        SHORTEST
    } else {
        SHORTEST_OF_MANY
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

impl Part {
    /// By how much more jobs this part has than the whole lets expect, as a
    /// share of what counts as a change.
    fn rise(self, whole: Part) -> f64 {
        if self.jobs < RISE_JOBS {
            return 0.0;
        }
        self.deviations(whole) / RISE_DEVIATIONS
    }

    /// The same for fewer.
    fn fall(self, whole: Part) -> f64 {
        if self.span < SHORTEST {
            return 0.0;
        }
        -self.deviations(whole) / FALL_DEVIATIONS
    }

    /// By how many standard deviations this part's jobs exceed what the whole
    /// lets expect.
    fn deviations(self, whole: Part) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let (jobs, all) = (self.jobs as f64, whole.jobs as f64);
        let expected = all * self.span.as_secs_f64() / whole.span.as_secs_f64();
        (jobs - expected) / expected.max(f64::MIN_POSITIVE).sqrt()
    }
}
