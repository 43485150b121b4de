//! Declared sizes corrected by what earlier jobs of a class used.

use std::time::Duration;

use crate::keys::WorkerId;
use crate::size::Size;

/// Ratios are in 256ths.
const ONE: u32 = 256;
/// No ratio beyond these is believed: a factor of 8 either way.
const RATIO_MIN: u16 = 32;
const RATIO_MAX: u16 = 2048;
/// How many of the latest jobs a class remembers.
const WINDOW: usize = 32;
/// Fewer jobs than this are no evidence for giving less than declared.
const ENOUGH: usize = 8;
/// Processors get this quantile of the window, in percent: a shortage slows.
const PROCESSORS_QUANTILE: usize = 75;
/// Memory gets the window's largest ratio, since a shortage kills.
const MEMORY_QUANTILE: usize = 100;
/// How many tasks a class has at the most before its first reported use.
const PROBES: usize = 2;
/// Added on top of the quantile, in percent.
const MARGIN: u64 = 10;
/// Added instead while there are fewer jobs than enough: their spread is not
/// known yet.
const MARGIN_EARLY: u64 = 50;

/// What is known of the jobs of one class.
#[derive(Debug, Clone, Default)]
pub(crate) struct Class {
    processors: Ratios,
    memory: Ratios,
    /// The workers on which jobs of the class failed since one last finished;
    /// a bad class fails on many, a bad worker fails many classes. Invariant:
    /// distinct.
    pub(crate) failed_on: Vec<WorkerId>,
    /// When one last failed.
    pub(crate) failed_at: Duration,
    /// Whether one of its jobs finished since it was last found bad.
    pub(crate) proven: bool,
    /// Whether the use of one of its tasks was ever reported.
    seen: bool,
    /// How many tasks it has.
    pub(crate) tasks: usize,
}

impl Class {
    /// What a job that declares `declared` is expected to need. Accelerators
    /// are never corrected: a job holds the ones it got alone.
    pub(crate) fn estimate(&self, declared: Size) -> Size {
        Size {
            processors: self
                .processors
                .correct(declared.processors, PROCESSORS_QUANTILE),
            memory: self.memory.correct(declared.memory, MEMORY_QUANTILE),
            accelerators: declared.accelerators,
        }
    }

    /// Whether one more task may start. Until a use is reported nothing is
    /// known of the class but what its team says, and that can be wrong for all
    /// of its jobs at once.
    pub(crate) fn may_start(&self) -> bool {
        self.seen || self.tasks < PROBES
    }

    /// Whether the use of one of its tasks was ever reported.
    pub(crate) fn is_seen(&self) -> bool {
        self.seen
    }

    pub(crate) fn note_seen(&mut self) {
        self.seen = true;
    }

    /// Learns from a job that used `peak` at the most.
    pub(crate) fn learn(&mut self, declared: Size, peak: Size) {
        self.processors.learn(declared.processors, peak.processors);
        self.memory.learn(declared.memory, peak.memory);
    }

    pub(crate) fn bytes(&self) -> usize {
        size_of::<Class>() + self.failed_on.capacity() * size_of::<WorkerId>()
    }
}

/// Used over declared for the latest jobs.
#[derive(Debug, Clone)]
struct Ratios {
    window: [u16; WINDOW],
    /// Invariant: at most `WINDOW`; only that many entries mean something.
    known: usize,
    next: usize,
}

impl Default for Ratios {
    fn default() -> Self {
        Ratios {
            window: [0; WINDOW],
            known: 0,
            next: 0,
        }
    }
}

impl Ratios {
    fn learn(&mut self, declared: u32, used: u32) {
        if declared == 0 || used == 0 {
            return;
        }
        let ratio = u64::from(used) * u64::from(ONE) / u64::from(declared);
        let ratio = u16::try_from(ratio).unwrap_or(RATIO_MAX);
        self.window[self.next] = ratio.clamp(RATIO_MIN, RATIO_MAX);
        self.next = (self.next + 1) % WINDOW;
        self.known = (self.known + 1).min(WINDOW);
    }

    fn correct(&self, declared: u32, quantile: usize) -> u32 {
        let Some(ratio) = self.quantile(quantile) else {
            return declared;
        };
        let ratio = u64::from(ratio);
        let margin = if self.known < ENOUGH {
            MARGIN_EARLY
        } else {
            MARGIN
        };
        let with_margin = ratio * (100 + margin) / 100;
        let honest = u64::from(ONE);
        // The margin alone is no reason for more than declared.
        let ratio = if ratio <= honest {
            with_margin.min(honest)
        } else {
            with_margin
        };
        let corrected = u64::from(declared) * ratio / honest;
        let corrected = u32::try_from(corrected).unwrap_or(u32::MAX);
        if self.known < ENOUGH {
            return corrected.max(declared);
        }
        corrected
    }

    fn quantile(&self, percent: usize) -> Option<u16> {
        let mut known = self.window;
        let known = &mut known[..self.known];
        known.sort_unstable();
        let rank = (self.known * percent).div_ceil(100);
        known.get(rank.checked_sub(1)?).copied()
    }
}
