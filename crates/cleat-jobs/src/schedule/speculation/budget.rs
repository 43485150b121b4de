//! The part of a pool's capacity that copies may use.

use crate::Size;
use crate::collections::IndexMap;
use crate::schedule::Scheduler;
use crate::schedule::step::ActiveStep;

/// What copies may still use in each pool.
#[derive(Debug, Default)]
pub(super) struct Budgets(IndexMap<Box<str>, Size>);

impl Budgets {
    /// Whether the budget of the step's pool allows one more copy of its tasks.
    pub(super) fn allow(&mut self, scheduler: &Scheduler, step: &ActiveStep) -> bool {
        let remaining = match self.0.get(&step.pool) {
            Some(remaining) => *remaining,
            None => {
                let remaining = scheduler.remaining_copy_budget(&step.pool);
                self.0.insert(step.pool.clone(), remaining);
                remaining
            }
        };
        step.footprint.fits(remaining)
    }

    /// Subtracts a copy of a task of the step.
    pub(super) fn book(&mut self, step: &ActiveStep) {
        if let Some(remaining) = self.0.get_mut(&step.pool) {
            *remaining = remaining.saturating_sub(step.footprint);
        }
    }
}

impl Scheduler {
    /// What copies may use of a pool in total, given the workers that may have
    /// runs.
    pub(in crate::schedule) fn copy_budget(&self, pool: &str) -> Size {
        let workers = self.workers.in_pool(pool);
        let capacity = workers.fold(Size::default(), |sum, (_, worker)| {
            sum + worker.record.capacity
        });
        let percent = u64::from(self.cfg.features.speculation_percent);
        let part = |whole: u64| whole.saturating_mul(percent) / 100;
        Size {
            cpu_milli: part(capacity.cpu_milli),
            memory_mb: part(capacity.memory_mb),
            gpu: part(capacity.gpu),
        }
    }

    /// What copies may use of all pools in total.
    pub(in crate::schedule) fn total_copy_budget(&self) -> Size {
        let pools = self.workers.pools();
        pools.fold(Size::default(), |sum, pool| sum + self.copy_budget(pool))
    }

    /// What copies may use of a pool in addition to those that exist.
    fn remaining_copy_budget(&self, pool: &str) -> Size {
        let runs = self.superseded.iter().map(|(_, run)| run);
        let active = runs
            .filter(|run| run.uses_capacity() && *self.workers[run.worker].record.pool == *pool);
        let used = active.fold(Size::default(), |sum, run| sum + run.footprint);
        self.copy_budget(pool).saturating_sub(used)
    }
}
