//! Amounts of the three resources of a worker.

use serde::{Deserialize, Serialize};

/// A resource of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Processors, in thousandths.
    Processors,
    /// Memory, in MiB.
    Memory,
    /// Accelerators, whole.
    Accelerators,
}

impl Resource {
    /// Every resource, in the order of [`Size::parts`].
    pub const ALL: [Resource; 3] = [
        Resource::Processors,
        Resource::Memory,
        Resource::Accelerators,
    ];
}

/// A share in millionths; [`WHOLE`] is everything.
pub type Share = u32;

/// The share that is everything.
pub const WHOLE: Share = 1_000_000;

/// An amount of each resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Size {
    /// Processors, in thousandths.
    pub processors: u32,
    /// Memory, in MiB.
    pub memory: u32,
    /// Accelerators, whole.
    pub accelerators: u32,
}

impl Size {
    /// The amounts in the order of [`Resource::ALL`].
    pub const fn parts(self) -> [u32; 3] {
        [self.processors, self.memory, self.accelerators]
    }

    /// The size with `parts` in the order of [`Resource::ALL`].
    pub const fn from_parts(parts: [u32; 3]) -> Size {
        Size {
            processors: parts[0],
            memory: parts[1],
            accelerators: parts[2],
        }
    }

    /// The amount of `resource`.
    pub const fn amount(self, resource: Resource) -> u32 {
        match resource {
            Resource::Processors => self.processors,
            Resource::Memory => self.memory,
            Resource::Accelerators => self.accelerators,
        }
    }

    /// Whether each amount is at most that of `space`.
    pub const fn fits(self, space: Size) -> bool {
        self.processors <= space.processors
            && self.memory <= space.memory
            && self.accelerators <= space.accelerators
    }

    /// The larger of each amount.
    pub fn max(self, other: Size) -> Size {
        self.zip(other, u32::max)
    }

    /// The smaller of each amount.
    pub fn min(self, other: Size) -> Size {
        self.zip(other, u32::min)
    }

    /// The sum.
    pub fn plus(self, other: Size) -> Size {
        self.zip(other, u32::saturating_add)
    }

    /// The difference, at least 0 in each resource.
    pub fn minus(self, other: Size) -> Size {
        self.zip(other, u32::saturating_sub)
    }

    /// Whether there is nothing of any resource.
    pub fn is_empty(self) -> bool {
        self == Size::default()
    }

    /// The largest share that the amounts are of `whole`. An amount of a
    /// resource that `whole` has none of counts as everything.
    pub fn dominant_share(self, whole: Size) -> Share {
        let [a, b, c] = self.parts();
        let [x, y, z] = whole.parts();
        share(a, x).max(share(b, y)).max(share(c, z))
    }

    /// The first resource of which there is more than in `space`.
    pub fn exceeding(self, space: Size) -> Option<Resource> {
        let mut all = Resource::ALL.into_iter();
        all.find(|resource| self.amount(*resource) > space.amount(*resource))
    }

    fn zip(self, other: Size, f: impl Fn(u32, u32) -> u32) -> Size {
        Size {
            processors: f(self.processors, other.processors),
            memory: f(self.memory, other.memory),
            accelerators: f(self.accelerators, other.accelerators),
        }
    }
}

fn share(amount: u32, whole: u32) -> Share {
    if amount == 0 {
        return 0;
    }
    if whole == 0 {
        return WHOLE;
    }
    let share = u64::from(amount) * u64::from(WHOLE) / u64::from(whole);
    u32::try_from(share).unwrap_or(u32::MAX)
}
