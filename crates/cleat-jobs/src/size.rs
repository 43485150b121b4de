//! What a task takes up and a worker offers.

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
    /// Whether all of this fits into `room`.
    pub fn fits(self, room: Size) -> bool {
        self.cpu_milli <= room.cpu_milli && self.memory_mb <= room.memory_mb && self.gpu <= room.gpu
    }

    /// The same without processor time: what a task takes up that runs in the
    /// processor time that others leave.
    #[must_use]
    pub fn without_cpu(self) -> Size {
        Size {
            cpu_milli: 0,
            ..self
        }
    }

    /// The larger of both, of each resource.
    #[must_use]
    pub fn component_max(self, other: Size) -> Size {
        Size {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// This much for each of `count` tasks.
    #[must_use]
    pub fn scaled(self, count: u64) -> Size {
        Size {
            cpu_milli: self.cpu_milli * count,
            memory_mb: self.memory_mb * count,
            gpu: self.gpu * count,
        }
    }

    /// How many tasks of this size fit into `room`.
    #[must_use]
    pub fn count_in(self, room: Size) -> u64 {
        let times = |part: u64, room: u64| room.checked_div(part).unwrap_or(u64::MAX);
        let cpu = times(self.cpu_milli, room.cpu_milli);
        let memory = times(self.memory_mb, room.memory_mb);
        cpu.min(memory).min(times(self.gpu, room.gpu))
    }

    /// What is left of this without `other`; nothing of a resource where
    /// `other` has more.
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
