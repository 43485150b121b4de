//! The work and the capacity of one pool, and the estimate of when a job would start.
//!
//! The model is a fluid one. Work is an amount of a resource times the time for which it
//! is used. A pool completes work at the rate of its capacity, and a task starts once
//! the work that goes first has started. What is free now can start at once, so it
//! counts as work already completed.

use std::ops::{Add, AddAssign};
use std::time::Duration;

use crate::Size;
use crate::schedule::fleet::FRAGMENTATION_PERCENT;
use crate::schedule::shares::ShareStatus;

/// The resolution of due times and of the supply, in seconds. It is a sixth of the
/// smallest latency that queues usually allow.
pub(super) const BUCKET_S: f64 = 0.1;
/// The number of buckets. They cover 12.8 s; a later due time counts as the last.
pub(super) const BUCKETS: usize = 128;
/// The time constant with which the rate of accepted work is averaged, in seconds: the
/// window in which the jobs of a customer are counted.
const INFLOW_WINDOW_S: f64 = 1.0;

/// How much earlier than necessary a booked job has to be able to start, in seconds:
/// due times are rounded to a bucket, and sums are up to one tick old.
const BOOKING_MARGIN_S: f64 = BUCKET_S + 0.05;

/// The number of buckets in a second.
const BUCKETS_IN_SECOND: usize = 10;
/// The part of the capacity of a second that may be booked. Callers that were told the
/// same second return at once, and tasks that start at once leave a remainder unused.
const BOOKED_PART: f64 = 0.9;

/// An amount of each resource, or such an amount times seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Work {
    pub(super) cpu: f64,
    pub(super) memory: f64,
}

impl Work {
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn of(size: Size) -> Work {
        Work {
            cpu: size.cpu_milli as f64,
            memory: size.memory_mb as f64,
        }
    }

    pub(super) fn scaled(self, factor: f64) -> Work {
        Work {
            cpu: self.cpu * factor,
            memory: self.memory * factor,
        }
    }

    /// Subtracts `other`; a resource of which `other` has more becomes 0.
    pub(super) fn saturating_sub(self, other: Work) -> Work {
        Work {
            cpu: (self.cpu - other.cpu).max(0.0),
            memory: (self.memory - other.memory).max(0.0),
        }
    }

    pub(super) fn component_min(self, other: Work) -> Work {
        Work {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
        }
    }

    fn fits_in(self, other: Work) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory
    }
}

impl Add for Work {
    type Output = Work;

    fn add(self, other: Work) -> Work {
        Work {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
        }
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Work) {
        *self = *self + other;
    }
}

/// The part of the scheduling order that is decided before due times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) priority: u32,
    pub(super) share: ShareStatus,
}

/// What a job asks of its pool. Times are on the owner's clock, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) rank: Rank,
    /// The work of the steps that wait for no other.
    pub(super) first: Work,
    /// The work of all steps.
    pub(super) total: Work,
    /// How long the longest task of these steps takes.
    pub(super) task_s: f64,
    /// When the job has to end to be in time.
    pub(super) due: f64,
    /// The latest start after which the job is in time.
    pub(super) latest_start: f64,
    /// The latest start after which its result has any value.
    pub(super) latest_start_with_value: f64,
}

impl Demand {
    /// The same job, if it is submitted again after `span` seconds.
    pub(super) fn after(self, span: f64) -> Demand {
        Demand {
            due: self.due + span,
            latest_start: self.latest_start + span,
            latest_start_with_value: self.latest_start_with_value + span,
            ..self
        }
    }
}

/// The work with due times in one bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    accepted: Work,
    /// The work of refused jobs whose callers were told when to return.
    booked: Work,
    /// The earliest of the latest starts of the accepted jobs, in seconds after the
    /// rebuild.
    latest_start: f64,
    /// The same for the booked jobs.
    booked_latest_start: f64,
}

const EMPTY_BUCKET: Bucket = Bucket {
    accepted: Work {
        cpu: 0.0,
        memory: 0.0,
    },
    booked: Work {
        cpu: 0.0,
        memory: 0.0,
    },
    latest_start: f64::INFINITY,
    booked_latest_start: f64::INFINITY,
};

/// The waiting work of one rank.
#[derive(Clone, Debug)]
struct Class {
    rank: Rank,
    buckets: Vec<Bucket>,
    /// The work of jobs that will miss their objective. It goes after the rest.
    late: Work,
    /// All accepted and booked work.
    total: Work,
    /// The average rate at which work is accepted, per second.
    inflow: Work,
}

impl Class {
    fn new(rank: Rank) -> Class {
        Class {
            rank,
            buckets: vec![EMPTY_BUCKET; BUCKETS],
            late: Work::default(),
            total: Work::default(),
            inflow: Work::default(),
        }
    }
}

/// The capacity of one pool over time.
#[derive(Clone, Debug, Default)]
pub(super) struct Capacity {
    /// What workers use or could use for tasks that end by themselves.
    pub(super) present: Work,
    /// What is free of that.
    pub(super) free: Work,
    /// What work beyond customers' shares uses.
    pub(super) used_beyond_shares: Work,
    /// The machines that will join.
    pub(super) joins: Vec<ExpectedJoin>,
}

/// Machines that will join a pool at the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedJoin {
    /// The time in seconds after the rebuild.
    pub(super) at: f64,
    pub(super) capacity: Work,
}

/// The supply at the boundaries of the buckets.
#[derive(Clone, Copy, Debug, Default)]
struct SupplyPoint {
    /// The work that is completed by then.
    completed: Work,
    /// What is free at the rebuild, and what joins until then.
    free: Work,
    /// The capacity, which is also the rate at which work is completed per second.
    rate: Work,
}

/// The waiting work and the supply of one pool, as of the last rebuild and the jobs
/// accepted and refused since.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolLoad {
    /// In ascending order of rank.
    classes: Vec<Class>,
    /// Empty before the first rebuild.
    supply: Vec<SupplyPoint>,
    used_beyond_shares: Work,
    /// On the owner's clock, in seconds.
    rebuilt_at: f64,
    /// Whether a worker or a machine of the pool was ever seen.
    pub(super) seen: bool,
}

/// The work of higher ranks, which goes before a job.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    /// The waiting work of higher ranks.
    outranking: Work,
    /// The rate at which work of higher ranks arrives, per second.
    inflow: Work,
}

/// Whose booked work goes before a job.
#[derive(Clone, Copy, Debug)]
pub(super) enum BookedAhead {
    /// That of all refused jobs with an earlier due time.
    ByDueTime,
    /// This amount: the job is itself booked, and was refused before the others.
    Only(Work),
}

/// When a job would start, or why it should be refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Estimate {
    /// It starts after this many seconds, and is in time.
    InTime(f64),
    /// It starts after this many seconds, and ends while its result has value.
    Late(f64),
    /// It can end neither in time nor with value.
    TooLate,
    /// It would make an accepted job late that is in time without it.
    Displaces,
}

impl PoolLoad {
    /// Removes all waiting work and sets the capacity.
    pub(super) fn reset(&mut self, now: f64, capacity: &Capacity) {
        let decay = (-(now - self.rebuilt_at).max(0.0) / INFLOW_WINDOW_S).exp();
        for class in &mut self.classes {
            class.buckets.fill(EMPTY_BUCKET);
            class.late = Work::default();
            class.total = Work::default();
            class.inflow = class.inflow.scaled(decay);
        }
        self.rebuilt_at = now;
        self.used_beyond_shares = usable(capacity.used_beyond_shares);
        self.set_supply(capacity);
    }

    fn set_supply(&mut self, capacity: &Capacity) {
        let mut point = SupplyPoint {
            completed: Work::default(),
            free: usable(capacity.free),
            rate: usable(capacity.present),
        };
        self.supply.clear();
        let mut from = f64::NEG_INFINITY;
        for index in 0..=BUCKETS {
            let at = bucket_start(index);
            let joins = capacity.joins.iter();
            for join in joins.filter(|join| join.at > from && join.at <= at) {
                let size = usable(join.capacity);
                point.rate += size;
                point.free += size;
            }
            self.supply.push(point);
            point.completed += point.rate.scaled(BUCKET_S);
            from = at;
        }
    }

    /// The work that can have started `at` seconds after the rebuild, if tasks take
    /// `task_s` seconds.
    fn supply(&self, at: f64, task_s: f64, rank: Rank) -> Work {
        let at = at.max(0.0);
        let Some(point) = self.supply.get(bucket_index(at)) else {
            return Work::default();
        };
        let since = at - bucket_start(bucket_index(at));
        // Work within shares must not be refused because of running work beyond them.
        let free = match rank.share {
            ShareStatus::Within => point.free + self.used_beyond_shares,
            ShareStatus::Exceeded => point.free,
        };
        point.completed + point.rate.scaled(since) + free.scaled(task_s)
    }

    fn class_mut(&mut self, rank: Rank) -> &mut Class {
        let index = match self.classes.binary_search_by(|class| class.rank.cmp(&rank)) {
            Ok(index) => index,
            Err(index) => {
                self.classes.insert(index, Class::new(rank));
                index
            }
        };
        &mut self.classes[index]
    }

    /// Adds accepted work. `latest_start` is that of its job; it is infinite if the job
    /// must not cause the refusal of others. Without it, the work goes after all work of
    /// its rank that can be in time.
    pub(super) fn add(&mut self, rank: Rank, due: f64, work: Work, latest_start: Option<f64>) {
        let rebuilt_at = self.rebuilt_at;
        let class = self.class_mut(rank);
        class.total += work;
        let Some(latest_start) = latest_start else {
            class.late += work;
            return;
        };
        let bucket = &mut class.buckets[bucket_index(due - rebuilt_at).min(BUCKETS - 1)];
        bucket.accepted += work;
        bucket.latest_start = bucket.latest_start.min(latest_start - rebuilt_at);
    }

    /// Adds a job that is accepted now.
    pub(super) fn accept(&mut self, demand: &Demand, in_time: bool) {
        let latest_start = if in_time {
            demand.latest_start
        } else {
            f64::INFINITY
        };
        self.add(demand.rank, demand.due, demand.total, Some(latest_start));
        let class = self.class_mut(demand.rank);
        class.inflow += demand.total.scaled(1.0 / INFLOW_WINDOW_S);
    }

    /// Adds the work of a booking whose caller returns with this probability.
    pub(super) fn book(&mut self, demand: &Demand, probability: f64) {
        let at = bucket_index(demand.due - self.rebuilt_at).min(BUCKETS - 1);
        let latest_start = demand.latest_start - self.rebuilt_at;
        let work = demand.total.scaled(probability);
        let class = self.class_mut(demand.rank);
        class.total += work;
        let bucket = &mut class.buckets[at];
        bucket.booked += work;
        bucket.booked_latest_start = bucket.booked_latest_start.min(latest_start);
    }

    /// Removes the work of a booking.
    pub(super) fn unbook(&mut self, demand: &Demand, probability: f64) {
        let at = bucket_index(demand.due - self.rebuilt_at).min(BUCKETS - 1);
        let work = demand.total.scaled(probability);
        let class = self.class_mut(demand.rank);
        class.total = class.total.saturating_sub(work);
        class.buckets[at].booked = class.buckets[at].booked.saturating_sub(work);
    }

    fn ahead(&self, rank: Rank) -> Ahead {
        let mut ahead = Ahead {
            outranking: Work::default(),
            inflow: Work::default(),
        };
        for class in self.classes.iter().take_while(|class| class.rank < rank) {
            ahead.outranking += class.total;
            ahead.inflow += class.inflow;
        }
        ahead
    }

    fn class(&self, rank: Rank) -> Option<&Class> {
        self.classes.iter().find(|class| class.rank == rank)
    }

    /// The first time, in seconds after the rebuild, at which the supply covers `work`
    /// and what arrives meanwhile: of higher ranks at the rate `inflow`, and of the same
    /// rank at the rate `own_inflow`.
    fn first_covered(
        &self,
        demand: &Demand,
        work: Work,
        inflow: Work,
        own_inflow: Work,
    ) -> Option<f64> {
        (0..=BUCKETS).map(bucket_start).find(|at| {
            // Work of the same rank goes ahead only if it is in time, and no more of it
            // can be in time than the pool completes.
            let completed = self.supply(*at, 0.0, demand.rank);
            let own = own_inflow.scaled(*at).component_min(completed);
            let needed = work + inflow.scaled(*at) + own;
            needed.fits_in(self.supply(*at, demand.task_s, demand.rank))
        })
    }

    /// Estimates when a job starts that is submitted now.
    pub(super) fn estimate(&self, demand: &Demand, booked: BookedAhead, now: f64) -> Estimate {
        let elapsed = now - self.rebuilt_at;
        let ahead = self.ahead(demand.rank);
        let class = self.class(demand.rank);
        let own = class.map_or(Work::default(), |class| {
            due_until(class, bucket_index(demand.due - self.rebuilt_at), booked)
        });
        let work = ahead.outranking + own + demand.first;
        let latest = demand.latest_start - self.rebuilt_at;
        let needed = work + ahead.inflow.scaled(latest);
        if latest >= 0.0 && needed.fits_in(self.supply(latest, demand.task_s, demand.rank)) {
            let start = self.first_covered(demand, work, ahead.inflow, Work::default());
            let start = start.unwrap_or(latest).min(latest);
            return match booked {
                BookedAhead::ByDueTime if self.displaces(demand, ahead) => Estimate::Displaces,
                _ => Estimate::InTime((start - elapsed).max(0.0)),
            };
        }
        // Late work goes after everything of its rank that can be in time.
        let (all, own_inflow) =
            class.map_or_else(Default::default, |class| (class.total, class.inflow));
        let work = ahead.outranking + all + demand.first;
        match self.first_covered(demand, work, ahead.inflow, own_inflow) {
            Some(start) if start <= demand.latest_start_with_value - self.rebuilt_at => {
                match self.displaces(demand, ahead) {
                    true => Estimate::Displaces,
                    false => Estimate::Late((start - elapsed).max(0.0)),
                }
            }
            _ => Estimate::TooLate,
        }
    }

    /// Whether a job would make an accepted or booked job of its rank late that is due
    /// after it.
    fn displaces(&self, demand: &Demand, ahead: Ahead) -> bool {
        let Some(class) = self.class(demand.rank) else {
            return false;
        };
        let first = bucket_index(demand.due - self.rebuilt_at);
        let mut sum = ahead.outranking;
        let supply = |start: f64| self.supply(start, demand.task_s, demand.rank);
        for (index, bucket) in class.buckets.iter().enumerate() {
            sum += bucket.accepted + bucket.booked;
            if index < first {
                continue;
            }
            // Accepted jobs in the bucket of the job itself came before it.
            let start = bucket.latest_start.max(0.0);
            if index > first && start.is_finite() {
                let needed = sum + ahead.inflow.scaled(start);
                let supply = supply(start);
                if needed.fits_in(supply) && !(needed + demand.total).fits_in(supply) {
                    return true;
                }
            }
            // A booked job is due to be accepted, so its work counts even if it is not
            // certain to fit.
            let start = bucket.booked_latest_start - BOOKING_MARGIN_S;
            if start.is_finite() && start > 0.0 && bucket.booked.cpu > 0.0 {
                let needed = sum + ahead.inflow.scaled(start) + demand.total;
                if !needed.fits_in(supply(start)) {
                    return true;
                }
            }
        }
        false
    }

    /// After how many seconds, a whole number up to `max`, the job could be submitted
    /// again and be in time, given what is accepted and booked.
    pub(super) fn retry_after(&self, demand: &Demand, max: u32) -> Option<u32> {
        let ahead = self.ahead(demand.rank);
        let class = self.class(demand.rank);
        (1..=max).find(|span| {
            let later = demand.after(f64::from(*span));
            let due = later.due - self.rebuilt_at;
            let last = bucket_index(due);
            let due_by = |last: usize| {
                class.map_or(Work::default(), |class| {
                    due_until(class, last, BookedAhead::ByDueTime)
                })
            };
            let own = due_by(last);
            let start = (later.latest_start - self.rebuilt_at - BOOKING_MARGIN_S).max(0.0);
            let needed = ahead.outranking + own + demand.total + ahead.inflow.scaled(start);
            // The work of a second must also fit into that second, since booked jobs
            // start no earlier than their callers return.
            // Neighbouring buckets are included, as due times are rounded.
            let before = last.checked_sub(BUCKETS_IN_SECOND);
            let earlier = before.map_or(Work::default(), due_by);
            let in_second = due_by(last + 1).saturating_sub(earlier) + demand.total + ahead.inflow;
            let capacity = self.supply(due, 0.0, demand.rank);
            let capacity = capacity.saturating_sub(self.supply(due - 1.0, 0.0, demand.rank));
            let capacity = capacity.scaled(BOOKED_PART);
            needed.fits_in(self.supply(start, demand.task_s, demand.rank))
                && in_second.fits_in(capacity)
                && !self.displaces(&later, ahead)
        })
    }
}

/// The work of a class that is due until the end of a bucket.
fn due_until(class: &Class, last: usize, booked: BookedAhead) -> Work {
    let mut sum = Work::default();
    for bucket in class.buckets.iter().take(last.saturating_add(1)) {
        sum += bucket.accepted;
        if matches!(booked, BookedAhead::ByDueTime) {
            sum += bucket.booked;
        }
    }
    match booked {
        BookedAhead::ByDueTime => sum,
        BookedAhead::Only(work) => sum + work,
    }
}

/// The part of a capacity that tasks of different sizes can use.
fn usable(size: Work) -> Work {
    #[allow(clippy::cast_precision_loss)]
    let reserve = FRAGMENTATION_PERCENT as f64;
    size.scaled(100.0 / (100.0 + reserve))
}

/// The index of the bucket that contains a time in seconds, at most [`BUCKETS`].
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn bucket_index(at: f64) -> usize {
    ((at / BUCKET_S).max(0.0) as usize).min(BUCKETS)
}

/// The start of a bucket, in seconds.
#[allow(clippy::cast_precision_loss)]
fn bucket_start(bucket: usize) -> f64 {
    bucket as f64 * BUCKET_S
}

/// A time on the owner's clock in seconds.
pub(super) fn clock_seconds(at: Duration) -> f64 {
    at.as_secs_f64()
}
