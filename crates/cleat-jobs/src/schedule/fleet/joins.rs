//! How long machines take to join a pool, and joins that fail.

use std::time::Duration;

use super::machine::{Machine, MachineOrder};
use crate::collections::IndexMap;
use crate::schedule::worker::millis;
use crate::schedule::{Decision, Scheduler};

/// The assumed time from the order to the first accepted work, before a join was observed:
/// the platform takes 1.5 s, and the worker up to 0.5 s to start.
const ASSUMED_JOIN: Duration = Duration::from_millis(2_000);
/// The weight of a new join in the running mean of its pool's join times. The mean covers
/// about the last ten joins, so it follows a platform that becomes slower.
const JOIN_WEIGHT: f64 = 0.1;
/// A join that takes longer than this multiple of its expected time counts as failed.
const OVERDUE_FACTOR: u32 = 2;
/// How long the record of a failed join is kept. The platform completes a move in 1.5 to
/// 2 s, so a machine that has not joined by then needs another order.
const ABANDON_AFTER: Duration = Duration::from_secs(8);

/// A move of a machine to a pool that was ordered and in which its worker has not accepted
/// work yet.
#[derive(Clone, Debug)]
pub(crate) struct Join {
    pub(crate) pool: Box<str>,
    pub(crate) ordered_at: Duration,
    /// Whether it has taken longer than [`OVERDUE_FACTOR`] times the expected time.
    pub(crate) overdue: bool,
}

/// A completed join, as the owner observed it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Joined {
    /// When the worker first accepted work in the pool.
    pub(crate) at: Duration,
    /// The time from the order to `at`.
    pub(crate) took: Duration,
}

/// The joins of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolJoins {
    /// The running mean of the join times; none before the first join.
    mean: Option<Duration>,
    /// Whether a join became overdue and none succeeded since.
    failing: bool,
}

/// The joins of each pool.
#[derive(Debug, Default)]
pub(crate) struct JoinTimes {
    pools: IndexMap<Box<str>, PoolJoins>,
}

impl JoinTimes {
    /// The expected time from the order to the first accepted work.
    pub(crate) fn expected(&self, pool: &str) -> Duration {
        let joins = self.pools.get(pool);
        joins.and_then(|joins| joins.mean).unwrap_or(ASSUMED_JOIN)
    }

    /// Whether joins of the pool fail.
    pub(crate) fn is_failing(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|joins| joins.failing)
    }

    /// Records a join. At most [`OVERDUE_FACTOR`] times the expected time is counted, so
    /// that a single slow join does not hide later failures.
    fn record_success(&mut self, pool: &str, took: Duration) {
        let took = took.min(self.expected(pool) * OVERDUE_FACTOR);
        let joins = self.pools.entry(pool.into()).or_default();
        let mean = joins.mean.map_or(took, |mean| {
            mean.mul_f64(1.0 - JOIN_WEIGHT) + took.mul_f64(JOIN_WEIGHT)
        });
        joins.mean = Some(mean);
        joins.failing = false;
    }

    /// Records that a join became overdue.
    fn record_failure(&mut self, pool: &str) {
        self.pools.entry(pool.into()).or_default().failing = true;
    }
}

impl Machine {
    /// Whether it is joining a pool and has taken longer than [`OVERDUE_FACTOR`] times the
    /// expected time.
    pub(crate) fn is_join_overdue(&self) -> bool {
        self.join.as_ref().is_some_and(|join| join.overdue)
    }

    /// Whether it is joining a pool and not overdue, or has been in its pool for less time
    /// than its move there took.
    pub(crate) fn has_just_joined(&self, now: Duration) -> bool {
        let joined = self.joined.as_ref();
        let just_joined = joined.is_some_and(|joined| now < joined.at + joined.took);
        just_joined || (self.join.is_some() && !self.is_join_overdue())
    }
}

impl Scheduler {
    /// Orders the move of a machine and records when its join began.
    pub(super) fn order_join(&mut self, name: &str, pool: &str) {
        if let Some(machine) = self.machines.by_name.get_mut(name) {
            machine.joined = None;
            machine.join = Some(Join {
                pool: pool.into(),
                ordered_at: self.now,
                overdue: false,
            });
        }
        self.order_machine(name, MachineOrder::Move { pool: pool.into() });
    }

    /// Completes the joins of machines whose workers accept work, and detects those that
    /// take too long.
    pub(super) fn update_joins(&mut self) {
        let now = self.now;
        let machines = self.machines.by_name.iter();
        let joining = machines.filter(|(_, machine)| machine.join.is_some());
        let names: Vec<Box<str>> = joining.map(|(name, _)| name.clone()).collect();
        for name in names {
            let worker = self.worker_on(&name);
            let machine = &mut self.machines.by_name[&name];
            let Some(join) = &mut machine.join else {
                continue;
            };
            let accepts = worker.is_some_and(|key| {
                let worker = &self.workers[key];
                worker.record.pool == join.pool && worker.accepts_work(now)
            });
            let took = now.saturating_sub(join.ordered_at);
            let pool = join.pool.clone();
            let given_up = machine.pending_order.is_none() && machine.view.pool != pool;
            if accepts {
                machine.join = None;
                machine.joined = Some(Joined { at: now, took });
                self.machines.joins.record_success(&pool, took);
                self.log(Decision::MachineJoined {
                    machine: name,
                    pool,
                    took_ms: millis(took),
                });
            } else if given_up || took > ABANDON_AFTER {
                machine.join = None;
            } else if !join.overdue && took > self.machines.joins.expected(&pool) * OVERDUE_FACTOR {
                join.overdue = true;
                self.machines.joins.record_failure(&pool);
            }
        }
    }

    /// Whether no move to a pool may be ordered, because joins of the pool fail and some
    /// are not over. Once all of them have completed or were abandoned, a single move is
    /// tried; otherwise a pool whose failed machines never return would get no machine
    /// again.
    pub(super) fn are_joins_held(&self, pool: &str) -> bool {
        self.machines.joins.is_failing(pool) && {
            let mut machines = self.machines.by_name.values();
            machines.any(|machine| {
                machine
                    .join
                    .as_ref()
                    .is_some_and(|join| *join.pool == *pool)
            })
        }
    }
}
