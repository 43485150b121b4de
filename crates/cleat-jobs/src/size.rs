//! Amounts of resources, such as the demand of a task or the capacity of a worker.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Size {
    /// Whether no resource exceeds that of `capacity`.
    pub fn fits(self, capacity: Size) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mb <= capacity.memory_mb
            && self.gpu <= capacity.gpu
    }

    /// This size with no processor time: the demand of a best-effort task, which uses only
    /// the processor time that other tasks leave idle.
    #[must_use]
    pub fn without_cpu(self) -> Size {
        Size {
            cpu_milli: 0,
            ..self
        }
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn component_max(self, other: Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// The minimum of each resource.
    #[must_use]
    pub fn component_min(self, other: Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// The total for `count` tasks of this size.
    #[must_use]
    pub fn scaled(self, count: u64) -> Size {
        Size {
            cpu_milli: self.cpu_milli * count,
            memory_mb: self.memory_mb * count,
            gpu: self.gpu * count,
        }
    }

    /// The number of tasks of this size that fit into `capacity`.
    #[must_use]
    pub fn count_in(self, capacity: Size) -> u64 {
        let count = |size: u64, capacity: u64| capacity.checked_div(size).unwrap_or(u64::MAX);
        let cpu = count(self.cpu_milli, capacity.cpu_milli);
        let memory = count(self.memory_mb, capacity.memory_mb);
        cpu.min(memory).min(count(self.gpu, capacity.gpu))
    }

    /// Subtracts `other`; a resource of which `other` has more becomes 0.
    #[must_use]
    pub fn saturating_sub(self, other: Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

impl Add for Size {
    type Output = Size;

    fn add(self, other: Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            gpu: self.gpu + other.gpu,
        }
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Size) {
        *self = *self + other;
    }
}

impl Sub for Size {
    type Output = Size;

    fn sub(self, other: Size) -> Size {
        self.saturating_sub(other)
    }
}

impl SubAssign for Size {
    fn sub_assign(&mut self, other: Size) {
        *self = *self - other;
    }
}
