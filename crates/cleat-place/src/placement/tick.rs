//! What happens as time passes.

use super::urgent::URGENT_PER_TICK;
use super::{Placement, Step};
use crate::timers::Timer;

impl Placement {
    /// Urgent work first, then what is due, then normal work with the calls
    /// that are left.
    pub(super) fn tick(&mut self, step: &mut Step) {
        self.end_leases(step);
        self.end_quarantines(step.now);
        self.serve_claims(step);
        self.serve_urgent(URGENT_PER_TICK, step);
        self.freed = false;
        self.fire_timers(step);
        self.refuse_unfit(step);
        let calls = self.terms.calls_per_tick;
        let made = self.make_stops(calls / 2, step);
        let made = made + self.drain(calls - made, step);
        let pass = self.serve_normal(calls.saturating_sub(made), step);
        if let Some(blocked) = pass.blocked {
            self.make_place(blocked, step);
        }
    }

    fn fire_timers(&mut self, step: &mut Step) {
        while let Some(timer) = self.timers.due(step.now) {
            match timer {
                Timer::Requeue(job) => self.rest_over(job),
                Timer::Answer(task) => self.answer_due(task, step),
            }
        }
    }
}
