//! The promises that are checked after every step, and the sums for averages.

use std::collections::HashMap;
use std::time::Duration;

use cleat_place::{JobView, Size, TaskId, WorkerId, fewest_workers};

use crate::platform::{Platform, Worker};

/// How long before its time the placement stops what is left on a worker.
const TIME_TO_EMPTY: Duration = Duration::from_secs(10);

impl Platform {
    /// A new task was started: nothing may hold more than it has.
    pub(crate) fn check_start(&mut self, task: TaskId, worker: WorkerId) {
        let view = self.placement.worker_view(worker);
        if view.is_some_and(|view| !view.reserved.fits(view.capacity)) {
            self.fault("a task was started on a worker without room");
        }
        let name = self.placement.job_name(task.job).unwrap_or_default();
        let Some(team) = self.jobs.get(name).map(|job| job.team) else {
            return;
        };
        let quota = self.quotas.get(&team).copied().flatten();
        let held = self.placement.team_use(team);
        // Use may grow past a quota; a start must not.
        if quota.is_some_and(|quota| !held.fits(quota)) {
            self.fault("a task was started over its team's quota");
        }
    }

    pub(crate) fn check(&mut self) {
        self.check_single_runs();
        self.check_sums();
        self.check_ends();
        self.check_empty();
    }

    /// What has to be empty is, and what is over does not run.
    fn check_empty(&mut self) {
        let now = self.now;
        let late = |worker: &Worker| {
            let over = worker.empty_by.is_some_and(|by| now > by);
            // While it could not be reached it could not be emptied either.
            let reached = !worker.cut && now > worker.healed_at + TIME_TO_EMPTY;
            over && reached && !worker.tasks.is_empty()
        };
        if self.workers.values().any(late) {
            self.fault("a worker was not empty in time");
        }
        let mut tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        let over = |name: &str| self.jobs.get(name).is_some_and(|job| job.ends > 0);
        if tasks.any(|task| over(&task.job)) {
            self.fault("a job that is over still runs");
        }
    }

    fn check_single_runs(&mut self) {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        for task in tasks {
            *runs.entry(&task.job).or_default() += 1;
        }
        if runs.values().any(|count| *count > 1) {
            self.fault("a job ran on two workers at once");
        }
    }

    /// What a worker holds is the sum of its tasks.
    fn check_sums(&mut self) {
        let mut sums: HashMap<WorkerId, Size> = HashMap::new();
        for job in self.placement.jobs() {
            if let Some(JobView::Placed { worker, size, .. }) = self.placement.job_view(job) {
                let sum = sums.entry(worker).or_default();
                *sum = sum.plus(size);
            }
        }
        let wrong = self.placement.workers().any(|id| {
            let held = self.placement.worker_view(id).map(|view| view.reserved);
            held != Some(sums.get(&id).copied().unwrap_or_default())
        });
        if wrong {
            self.fault("a worker's sum differs from its tasks");
        }
    }

    /// Every job is either known to the placement or over, and ends once.
    fn check_ends(&mut self) {
        let twice = self.jobs.values().any(|job| job.ends > 1);
        let ended = self.jobs.values().filter(|job| job.ends == 1).count();
        let known = self.placement.jobs().count();
        if twice {
            self.fault("a job ended twice");
        }
        if ended + known != self.jobs.len() {
            self.fault("a job is neither known nor over");
        }
    }

    pub(crate) fn measure(&mut self) {
        let mut used = Size::default();
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        for task in tasks {
            used = used.plus(self.truth(&task.job).map_or(Size::default(), |t| t.used));
        }
        let views = self.placement.workers();
        let views: Vec<_> = views
            .filter_map(|id| self.placement.worker_view(id))
            .collect();
        let reserved = views.iter().map(|view| view.reserved);
        let reserved = reserved.fold(Size::default(), Size::plus);
        let capacities: Vec<Size> = views.iter().map(|view| view.capacity).collect();
        let capacity = capacities.iter().copied().fold(Size::default(), Size::plus);
        add(&mut self.tally.used, used);
        add(&mut self.tally.reserved, reserved);
        add(&mut self.tally.capacity, capacity);
        let busy = views.iter().filter(|view| view.tasks > 0).count();
        self.tally.busy += busy as u64;
        self.tally.fewest += fewest_workers(reserved, &capacities) as u64;
    }
}

fn add(sums: &mut [u64; 3], size: Size) {
    for (sum, part) in sums.iter_mut().zip(size.parts()) {
        *sum += u64::from(part);
    }
}
