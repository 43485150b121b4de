//! Which tasks any machine of the fleet could hold.
//!
//! Some jobs declare sizes or labels that no machine has. They wait until such a machine is
//! added, and more machines of the present kinds would not help them.

use crate::Size;
use crate::collections::IndexMap;
use crate::schedule::Scheduler;
use crate::schedule::step::ActiveStep;

/// Machines of one size.
#[derive(Clone, Copy, Debug)]
struct SizeClass {
    size: Size,
    /// The number of machines; 0 for the size of a worker that differs from the size that
    /// its machine is listed with.
    machines: u64,
}

/// The sizes of all machines, by label and in all.
#[derive(Debug, Default)]
pub(in crate::schedule) struct FleetSizes {
    all: Vec<SizeClass>,
    by_label: IndexMap<Box<str>, Vec<SizeClass>>,
}

impl FleetSizes {
    fn add(&mut self, size: Size, labels: &[Box<str>], machines: u64) {
        add_size(&mut self.all, size, machines);
        for label in labels {
            if !self.by_label.contains_key(label) {
                self.by_label.insert(label.clone(), Vec::new());
            }
            add_size(&mut self.by_label[label], size, machines);
        }
    }

    /// Whether the fleet could hold a step if nothing else ran there. `true` while no
    /// machine is known.
    pub(in crate::schedule) fn can_hold_step(&self, step: &ActiveStep) -> bool {
        if self.all.is_empty() {
            return true;
        }
        let classes = match &step.required_label {
            Some(label) => self.by_label.get(label).map_or(&[][..], Vec::as_slice),
            None => &self.all,
        };
        let max_per_worker = step.max_per_worker.map_or(u64::MAX, u64::from);
        let tasks_on = |class: &SizeClass| step.footprint.count_in(class.size).min(max_per_worker);
        if !step.gang {
            return classes.iter().any(|class| tasks_on(class) > 0);
        }
        let tasks = classes.iter().fold(0_u64, |sum, class| {
            sum.saturating_add(tasks_on(class).saturating_mul(class.machines))
        });
        tasks >= step.min_start_count()
    }
}

fn add_size(classes: &mut Vec<SizeClass>, size: Size, machines: u64) {
    match classes.iter_mut().find(|class| class.size == size) {
        Some(class) => class.machines += machines,
        None => classes.push(SizeClass { size, machines }),
    }
}

impl Scheduler {
    /// Determines the sizes of the fleet again if machines or workers have changed.
    pub(in crate::schedule) fn update_fleet_sizes(&mut self) {
        let listed = std::mem::take(&mut self.fleet_listed);
        let shrunk = listed && std::mem::take(&mut self.fleet_shrunk);
        let changed = std::mem::take(&mut self.fleet_changed);
        if !shrunk && !changed {
            return;
        }
        let mut sizes = FleetSizes::default();
        let machines = &self.machines.by_name;
        for machine in machines.values() {
            sizes.add(machine.view.capacity, &machine.view.labels, 1);
        }
        for (_, worker) in self.workers.iter() {
            let record = &worker.record;
            let machine = record.machine.as_ref();
            let is_listed = machine.is_some_and(|name| machines.contains_key(name));
            sizes.add(record.capacity, &record.labels, u64::from(!is_listed));
        }
        self.fleet_sizes = sizes;
    }
}
