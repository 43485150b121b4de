//! The decision on one submitted job.

use std::time::Duration;

use super::bookings::Booking;
use super::estimate::{BookedAhead, Demand, Estimate, Rank, Work, clock_seconds};
use super::{Admission, RefusalReason, Submission, Unapplied};
use crate::JobId;
use crate::schedule::Scheduler;
use crate::schedule::ready::DISPATCH_OVERHEAD;
use crate::schedule::shares::{SharePolicy, ShareStatus};
use crate::schedule::timing::Objective;
use crate::state::ControlState;

/// The part of a job's time limit that is kept as a margin, in percent: tasks of one
/// step differ in duration, and the job ends with the longest.
const MARGIN_PERCENT: u32 = 10;
/// The latest time at which a caller is told to return, in seconds. A later estimate
/// would depend on arrivals that are not known yet.
const MAX_RETRY_S: u32 = 10;
/// The earliest time at which a caller is told to return if no free time was found, in
/// seconds.
const MIN_UNBOOKED_RETRY_S: u32 = 6;

impl Scheduler {
    /// Decides whether a job that the state does not contain is accepted. An accepted
    /// job counts as waiting work at once, so the caller has to commit it.
    pub fn admit(&mut self, state: &ControlState, submission: &Submission<'_>) -> Admission {
        let without_estimate = Admission::Accept { wait: None };
        if !self.cfg.features.admission
            || state.catalogue.is_none()
            || !is_limited(submission)
            // The job may be committed, so refusing it now could be untrue.
            || self.admission.unapplied.contains_key(&submission.id)
        {
            return without_estimate;
        }
        let demand = self.demand(state, submission);
        let pool = &submission.queue.pool;
        // Before the first tick no pool is known. The job is remembered nevertheless.
        let Some(load) = self.admission.pools.get(pool).filter(|load| load.seen) else {
            self.record_accepted(submission, demand, true);
            return without_estimate;
        };
        let now = clock_seconds(self.now);
        let booking = self.admission.bookings.get(submission.id);
        let due_booking = booking.filter(|booking| booking.is_due(self.now));
        let booked = due_booking.map_or(BookedAhead::ByDueTime, |booking| {
            let bookings = &self.admission.bookings;
            BookedAhead::Only(bookings.work_before(booking, demand.rank, self.now))
        });
        match load.estimate(&demand, booked, now) {
            estimate @ (Estimate::InTime(wait) | Estimate::Late(wait)) => {
                let in_time = matches!(estimate, Estimate::InTime(_));
                self.record_accepted(submission, demand, in_time);
                let wait = Some(Duration::from_secs_f64(wait));
                Admission::Accept { wait }
            }
            Estimate::TooLate | Estimate::Displaces => self.refuse(submission, &demand),
        }
    }

    /// Counts an accepted job as waiting work until it is applied.
    fn record_accepted(&mut self, submission: &Submission<'_>, demand: Demand, in_time: bool) {
        self.remove_booking(submission);
        if !in_time {
            self.admission.accepted_late.insert(submission.id);
        }
        let pool = &submission.queue.pool;
        if let Some(load) = self.admission.pools.get_mut(pool) {
            load.accept(&demand, in_time);
        }
        let unapplied = Unapplied {
            pool: pool.clone(),
            demand,
            in_time,
            accepted_at: self.now,
        };
        self.admission.record_accepted(submission.id, unapplied);
    }

    /// Removes the booking of a job, if there is one, from the sums of its pool.
    fn remove_booking(&mut self, submission: &Submission<'_>) -> Option<Booking> {
        let probability = self.admission.bookings.return_probability();
        let booking = self.admission.bookings.remove(submission.id, self.now)?;
        if let Some(load) = self.admission.pools.get_mut(&booking.pool) {
            load.unbook(&booking.demand, probability);
        }
        Some(booking)
    }

    /// Refuses a job and books its work for the time at which its caller returns. A
    /// caller that returns early is told the same time again.
    fn refuse(&mut self, submission: &Submission<'_>, demand: &Demand) -> Admission {
        let reason = match demand.rank.share {
            ShareStatus::Exceeded => RefusalReason::BeyondShare,
            ShareStatus::Within => RefusalReason::Capacity,
        };
        let earlier = self.remove_booking(submission);
        if earlier.is_none() && reason == RefusalReason::Capacity {
            self.record_refused_arrival(submission);
        }
        let refused_at = earlier
            .as_ref()
            .map_or(self.now, |booking| booking.refused_at);
        let too_early = earlier.filter(|booking| booking.returns_at > self.now);
        let told_s = too_early.map(|booking| whole_seconds(booking.returns_at - self.now));
        let load = self.admission.pools.get(&submission.queue.pool);
        let booked_s = told_s.or_else(|| load?.retry_after(demand, MAX_RETRY_S));
        let retry_s = booked_s.unwrap_or_else(|| unbooked_retry_s(submission));
        if booked_s.is_some() {
            let booking = Booking {
                pool: submission.queue.pool.clone(),
                demand: demand.after(f64::from(retry_s)),
                returns_at: self.now + Duration::from_secs(u64::from(retry_s)),
                refused_at,
            };
            self.add_booking(submission.id, booking);
        }
        self.admission.report.record(submission, reason, retry_s);
        let retry_after = Duration::from_secs(u64::from(retry_s));
        Admission::Refuse {
            retry_after,
            reason,
        }
    }

    /// Adds a booking to the sums of its pool. If there are too many, the oldest is
    /// dropped and its work subtracted.
    fn add_booking(&mut self, id: JobId, booking: Booking) {
        let probability = self.admission.bookings.return_probability();
        if let Some(load) = self.admission.pools.get_mut(&booking.pool) {
            load.book(&booking.demand, probability);
        }
        if let Some(dropped) = self.admission.bookings.add(id, booking)
            && let Some(load) = self.admission.pools.get_mut(&dropped.pool)
        {
            load.unbook(&dropped.demand, probability);
        }
    }

    /// Counts a refused job as an arrival at its pool. Without it, a pool that refuses
    /// jobs would appear to need no more machines than it has.
    fn record_refused_arrival(&mut self, submission: &Submission<'_>) {
        let Submission { queue, spec, .. } = submission;
        let paths = self.workload.critical_paths(&queue.name, spec);
        let path = paths.into_iter().max().unwrap_or_default();
        let arrived_at = self.now.saturating_sub(submission.age);
        let within = self.cfg.features.machine_plan;
        self.workload
            .record_arrival(queue, spec, arrived_at, path, within);
    }

    /// What a job asks of its pool.
    fn demand(&mut self, state: &ControlState, submission: &Submission<'_>) -> Demand {
        let Submission { queue, spec, .. } = submission;
        let paths = self.workload.critical_paths(&queue.name, spec);
        let path = paths.into_iter().max().unwrap_or_default();
        let latency = Duration::from_millis(queue.target_latency_ms);
        let span = path.mul_f64(queue.stretch.max(1.0)) + latency;
        let objective = Objective::new(self.now, submission.age, span);
        let (mut first, mut total, mut task_s) = (Work::default(), Work::default(), 0.0);
        for step in &spec.steps {
            let expected = self
                .workload
                .expected_duration(&queue.name, step.estimate_ms);
            let took_s = (expected + DISPATCH_OVERHEAD).as_secs_f64();
            let size = Work::of(step.footprint().scaled(u64::from(step.count)));
            let work = size.scaled(took_s);
            total += work;
            if step.after.is_empty() {
                first += work;
                task_s = f64::max(task_s, took_s);
            }
        }
        let path_s = clock_seconds(path + DISPATCH_OVERHEAD);
        let (due, zero_value_at) = (
            clock_seconds(objective.due),
            clock_seconds(objective.zero_value_at),
        );
        let margin_s = clock_seconds(span * MARGIN_PERCENT / 100);
        Demand {
            rank: Rank {
                priority: queue.priority,
                share: self.share_of_next_job(state, submission),
            },
            first,
            total,
            task_s,
            due,
            latest_start: due - path_s - margin_s,
            latest_start_with_value: zero_value_at - path_s - margin_s,
        }
    }

    /// Whether a job that is submitted now would be within its customer's share.
    fn share_of_next_job(
        &mut self,
        state: &ControlState,
        submission: &Submission<'_>,
    ) -> ShareStatus {
        let Some(name) = submission.customer else {
            return ShareStatus::Within;
        };
        let catalogue = state.catalogue.as_deref();
        let key = self.accounts.get_or_create(name, catalogue);
        match self.cfg.share_policy {
            SharePolicy::DeadlineFirst => ShareStatus::Within,
            SharePolicy::ResourceUse => self.accounts.share_status_by_usage(key),
            SharePolicy::ArrivalRate => {
                let arrived_at = self.now.saturating_sub(submission.age);
                self.accounts.next_job_status(key, arrived_at)
            }
        }
    }
}

/// Whether all steps of a job end by themselves and need a part of a worker of their
/// own. Other jobs are always accepted.
fn is_limited(submission: &Submission<'_>) -> bool {
    let steps = &submission.spec.steps;
    submission.spec.repeat.is_none() && !steps.iter().any(|step| step.long_running || step.fills)
}

/// After how many seconds a caller returns for which no free time was found. The times
/// are spread by the id of the job, so that the callers do not return all at once.
fn unbooked_retry_s(submission: &Submission<'_>) -> u32 {
    let times = u64::from(MAX_RETRY_S - MIN_UNBOOKED_RETRY_S) + 1;
    let spread = u32::try_from(submission.id.0 % times).unwrap_or(0);
    MIN_UNBOOKED_RETRY_S + spread
}

/// A time span in whole seconds, rounded up, at least one.
fn whole_seconds(span: Duration) -> u32 {
    let rounded = span.as_secs() + u64::from(span.subsec_nanos() > 0);
    u32::try_from(rounded.max(1)).unwrap_or(u32::MAX)
}
