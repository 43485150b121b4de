//! Refused jobs, and the times at which their callers were told to return.

use std::collections::VecDeque;
use std::time::Duration;

use super::estimate::{Demand, Rank, Work};
use crate::JobId;
use crate::collections::IndexMap;

/// The maximum number of bookings: those of 500 refusals a second for four seconds.
const MAX_BOOKINGS: usize = 2_048;
/// How long after the time that it was told a caller may return. Callers are told whole
/// seconds and may add a random delay.
const RETURN_WINDOW: Duration = Duration::from_secs(2);
/// How much earlier than it was told a caller may return, since the clocks of the caller
/// and of the owner advance in different steps: the owner's by one tick.
const EARLY_RETURN: Duration = Duration::from_millis(100);

/// The weight of one booking in the probability that callers return: the average covers
/// about the last 30, so that callers who never return withhold capacity only briefly.
const RETURN_WEIGHT: f64 = 1.0 / 32.0;

/// A refused job. Times are on the owner's clock.
#[derive(Clone, Debug)]
pub(super) struct Booking {
    pub(super) pool: Box<str>,
    /// What the job asks for if it is submitted again at `returns_at`.
    pub(super) demand: Demand,
    /// When the caller was told to return.
    pub(super) returns_at: Duration,
    /// When the job was first refused.
    pub(super) refused_at: Duration,
}

impl Booking {
    fn expires_at(&self) -> Duration {
        self.returns_at + RETURN_WINDOW
    }

    /// Whether the caller returns when it was told to.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        now + EARLY_RETURN >= self.returns_at && now <= self.expires_at()
    }
}

/// The refused jobs whose callers are expected to return.
#[derive(Debug)]
pub(super) struct Bookings {
    /// The observed probability that a caller returns within its window.
    return_probability: f64,
    by_id: IndexMap<JobId, Booking>,
    /// The jobs in the order in which they were booked. May contain removed ones.
    order: VecDeque<JobId>,
}

impl Default for Bookings {
    fn default() -> Self {
        Bookings {
            return_probability: 1.0,
            by_id: IndexMap::default(),
            order: VecDeque::new(),
        }
    }
}

impl Bookings {
    pub(super) fn return_probability(&self) -> f64 {
        self.return_probability
    }

    pub(super) fn get(&self, id: JobId) -> Option<&Booking> {
        self.by_id.get(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Booking> {
        self.by_id.values()
    }

    /// Adds a booking, and returns the oldest one if there are too many.
    pub(super) fn add(&mut self, id: JobId, booking: Booking) -> Option<Booking> {
        if self.by_id.insert(id, booking).is_none() {
            self.order.push_back(id);
        }
        while self.by_id.len() > MAX_BOOKINGS
            && let Some(oldest) = self.order.pop_front()
        {
            if let Some(dropped) = self.by_id.swap_remove(&oldest) {
                return Some(dropped);
            }
        }
        None
    }

    /// Removes the booking of a job that is submitted again. If the caller returns within
    /// its window, the return probability rises.
    pub(super) fn remove(&mut self, id: JobId, now: Duration) -> Option<Booking> {
        let booking = self.by_id.swap_remove(&id)?;
        if booking.is_due(now) {
            self.return_probability += RETURN_WEIGHT * (1.0 - self.return_probability);
        }
        Some(booking)
    }

    /// Removes the bookings whose callers did not return. Each lowers the return
    /// probability.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        let before = self.by_id.len();
        self.by_id.retain(|_, booking| now <= booking.expires_at());
        for _ in self.by_id.len()..before {
            self.return_probability *= 1.0 - RETURN_WEIGHT;
        }
        self.order.retain(|id| self.by_id.contains_key(id));
    }

    /// The work of the jobs of this rank in the pool that were refused before `booking`
    /// and whose callers may already return.
    pub(super) fn work_before(&self, booking: &Booking, rank: Rank, now: Duration) -> Work {
        let earlier = self.by_id.values().filter(|other| {
            other.refused_at < booking.refused_at
                && other.demand.rank == rank
                && other.is_due(now)
                && other.pool == booking.pool
        });
        earlier.fold(Work::default(), |sum, other| sum + other.demand.total)
    }
}
